/** Load of an owner's targets of one service, reported to entry hosts with each relayed answer. */
export interface PoolState {
  /** Number of calls that the usable targets can run concurrently now. */
  readonly limit: number;
  readonly inFlight: number;
  readonly queued: number;
  /** Median time to the answer head in milliseconds; 0 when not known. */
  readonly medianMs: number;
}
