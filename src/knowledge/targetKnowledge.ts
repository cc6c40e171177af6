/** What this host knows of one target; owned and changed by `KnowledgeTable` only. */
export interface TargetKnowledge {
  readonly id: string;
  /** Stands for the id in counts of calls in flight. */
  readonly key: number;
  readonly service: string;
  slots: number;
  /** Unix time of the start that the knowledge is about; null when it was not announced. */
  startedAt: number | null;
  /** Calls that the target reported at `loadAt` beyond those that hosts told of. */
  untold: number;
  /** Monotonic time of the last report of load; -Infinity before the first. */
  loadAt: number;
  /** Time that work takes, in percent of the usual. */
  pace: number;
  paceAt: number;
  /** Calls of this host that are at the target. */
  ownInFlight: number;
  coldUntil: number;
  /** Share of recent calls that failed, 0 to 1, decayed by time. */
  failureShare: number;
  failureAt: number;
  /** Monotonic time of the last good answer of the target to anyone who told of it. */
  soundAt: number;
  /** Monotonic time of the last sign that the target is gone or was restarted; 0 for none. */
  lostAt: number;
  /** Whether the last probe called the target ill. */
  isIll: boolean;
}
