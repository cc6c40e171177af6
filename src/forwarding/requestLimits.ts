/** Limits on what callers may send and how slowly; times in milliseconds, sizes in bytes. */
export interface RequestLimits {
  readonly maxHeaderSize: number;
  readonly headersTimeout: number;
  readonly requestTimeout: number;
  readonly keepAliveTimeout: number;
  /** How often Node.js looks for requests that are past the two time limits. */
  readonly connectionsCheckingInterval: number;
  /** Time for which the rest of a refused body is read before its connection is closed. */
  readonly lingerMs: number;
}

/** Limits of the caller's listener; a body is further limited by the sheet. */
export const DEFAULT_REQUEST_LIMITS: RequestLimits = Object.freeze({
  maxHeaderSize: 16 * 1024,
  headersTimeout: 10_000,
  requestTimeout: 120_000,
  keepAliveTimeout: 60_000,
  connectionsCheckingInterval: 1000,
  lingerMs: 1000,
});
