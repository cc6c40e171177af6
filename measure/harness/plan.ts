/** An interval of the schedule with its own rate; results are grouped by name. */
export interface Phase {
  readonly name: string;
  readonly seconds: number;
  readonly callsPerSecond: number;
}

/** One kind of call in the workload. */
export interface CallKind {
  readonly name: string;
  /** Share of the calls, relative to the other kinds. */
  readonly weight: number;
  readonly method: 'GET' | 'POST';
  /** Path prefix; the run id and the sequence number of the call make the path unique. */
  readonly path: string;
  /** Whether each call carries its own Idempotency-Key. */
  readonly isKeyed: boolean;
}

/** Workload of a load generator; the same seed gives the same schedule. */
export interface LoadPlan {
  readonly seed: number;
  /** Makes the paths and keys of this run unique. */
  readonly runId: string;
  readonly baseUrls: readonly string[];
  readonly phases: readonly Phase[];
  readonly kinds: readonly CallKind[];
  readonly timeoutMs: number;
  /**
   * Delay before the single retry of a keyed call whose outcome is `unknown` or `broken`; no retry
   * by default.
   */
  readonly retryUnknownAfterMs?: number;
}
