/** Outcomes of the calls of one kind. */
export interface KindReport {
  readonly calls: number;
  readonly inTime: number;
  readonly late: number;
  /** Calls that were refused or failed, after all retries. */
  readonly unserved: number;
}

/** Result of a simulation run. */
export interface ModelReport {
  readonly kinds: Readonly<Record<string, KindReport>>;
  /** Share of all calls that were answered within their objective, in the worst two seconds. */
  readonly worstWindowShare: number;
  /** Share of all calls that were answered within their objective. */
  readonly inTimeShare: number;
  readonly attempts: number;
  /** Datagrams with reports and in-flight counts, counted once for each receiving host. */
  readonly messages: number;
  /** Calls that were queued at their target for want of a free slot. */
  readonly queued: number;
  /** Largest number of calls in 4 s at a target beyond 1.5 times its limit. */
  readonly maxCallsOverLimit: number;
  /** Calls that were reset or refused by a full target. */
  readonly rejected: number;
}
