/** Bounds on what a caller may send and how long it may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Longest time for the header of a request, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Longest time that a connection may stay idle, in milliseconds. */
  readonly idleTimeoutMs: number;
}
