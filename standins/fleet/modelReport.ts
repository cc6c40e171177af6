/** What became of the calls of one kind. */
export interface KindReport {
  readonly asked: number;
  readonly inTime: number;
  readonly late: number;
  /** Refused or failed for good. */
  readonly unserved: number;
}

/** Result of a run of the model. */
export interface ModelReport {
  readonly kinds: Readonly<Record<string, KindReport>>;
  /** Share of all calls that were answered within their objective, in the worst two seconds. */
  readonly worstWindow: number;
  /** Share of all calls that were answered within their objective. */
  readonly inTime: number;
  readonly sends: number;
  /** Datagrams between hosts that tell loads, as they arrive. */
  readonly messages: number;
  /** Calls that found no free slot at their target and waited there. */
  readonly queued: number;
  /** Calls that found no room at their target. */
  readonly turnedAway: number;
}
