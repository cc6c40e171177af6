/** Limits on the size of requests and on the time that callers take to send them. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Maximum time to receive the header of a request, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Maximum time for which a connection may stay idle, in milliseconds. */
  readonly idleTimeoutMs: number;
}
