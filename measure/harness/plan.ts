/** A stretch of the schedule with its own rate; results are kept by name. */
export interface Phase {
  readonly name: string;
  readonly seconds: number;
  readonly callsPerSecond: number;
}

/** One kind of call in the mix. */
export interface CallKind {
  readonly name: string;
  /** Share of the calls, relative to the other kinds. */
  readonly weight: number;
  readonly method: 'GET' | 'POST';
  /** Start of the path; the call's number makes it unique. */
  readonly path: string;
  /** Sends an Idempotency-Key of its own with each call. */
  readonly keyed: boolean;
}

/** What a load generator sends; the same seed gives the same schedule. */
export interface LoadPlan {
  readonly seed: number;
  /** Makes the paths and keys of this run unique. */
  readonly runId: string;
  readonly bases: readonly string[];
  readonly phases: readonly Phase[];
  readonly kinds: readonly CallKind[];
  readonly timeoutMs: number;
  /** Callers repeat a keyed call of unknown outcome once, after this time; never when left out. */
  readonly repeatUnknownAfterMs?: number;
}
