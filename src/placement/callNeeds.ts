/** What a call asks of its placement. */
export interface CallNeeds {
  /** Time that the work usually takes, in milliseconds. */
  readonly workMs: number;
  /** Time after its arrival within which an answer has its full worth, in milliseconds. */
  readonly objectiveMs: number;
  /** Time left until the caller gets a final answer in any case, in milliseconds. */
  readonly leftMs: number;
  /** Time left until the latency objective; negative when it has passed. */
  readonly objectiveLeftMs: number;
  readonly isIdempotent: boolean;
  /** Whether the call may wait at this host for a better moment. */
  readonly mayWait: boolean;
  /** Whether calls of this host that come before it wait for the same service. */
  readonly isBehind: boolean;
  /** How many times longer work takes at a target whose last slot is taken. */
  readonly fullSlowdown: number;
  /** Rank among the priorities of the service: 0 for the most urgent, 1 for the least. */
  readonly rank: number;
}
