/** Size and time limits on requests of callers, in bytes and milliseconds. */
export interface RequestLimits {
  readonly maxHeaderSize: number;
  readonly headersTimeout: number;
  readonly requestTimeout: number;
  readonly keepAliveTimeout: number;
  /** Interval at which Node.js checks for requests past `headersTimeout` or `requestTimeout`. */
  readonly connectionsCheckingInterval: number;
  /** How long the rest of a refused body is read before the connection is closed. */
  readonly lingerMs: number;
}

/** Default limits; the configuration additionally limits the body size of each service. */
export const DEFAULT_REQUEST_LIMITS: RequestLimits = Object.freeze({
  maxHeaderSize: 16 * 1024,
  headersTimeout: 10_000,
  requestTimeout: 120_000,
  keepAliveTimeout: 60_000,
  connectionsCheckingInterval: 1000,
  lingerMs: 1000,
});
