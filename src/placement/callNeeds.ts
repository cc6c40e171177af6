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
  /** Whether there is still time to wait for a better moment. */
  readonly mayWait: boolean;
  /** Rank among the priorities of the service: 0 for the most urgent, 1 for the least. */
  readonly rank: number;
}
