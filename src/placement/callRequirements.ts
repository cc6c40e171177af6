/** Properties of a call that decide its placement. */
export interface CallRequirements {
  /** Usual service time of the call, in milliseconds. */
  readonly workMs: number;
  /** Latency objective: milliseconds from arrival within which an answer has its full value. */
  readonly objectiveMs: number;
  /** Time left until the deadline of the call, in milliseconds. */
  readonly leftMs: number;
  /** Time left until the latency objective, in milliseconds; negative after it has passed. */
  readonly objectiveLeftMs: number;
  readonly isIdempotent: boolean;
  /** Whether the call may wait in the queue of this host. */
  readonly mayWait: boolean;
  /** Whether calls that precede it in the queue of this host wait for the same service. */
  readonly hasCallAhead: boolean;
  /** Factor by which service time grows at a target whose last slot is taken. */
  readonly lastSlotSlowdown: number;
  /** Rank among the priorities of the service, from 0 (most urgent) to 1 (least urgent). */
  readonly rank: number;
}
