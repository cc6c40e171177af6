/** State of an owner's targets of one service, as told to the entries with each relayed answer. */
export interface PoolState {
  /** Calls that the usable targets can run at the same time now. */
  readonly limit: number;
  readonly inFlight: number;
  readonly queued: number;
  /** Median time to the answer head in milliseconds; 0 when not known. */
  readonly medianMs: number;
}
