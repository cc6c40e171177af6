/** Statistics of one target, mutated only by the table that owns them. */
export interface TargetStatistics {
  readonly id: string;
  /** Hash that replaces the id in in-flight counts. */
  readonly key: number;
  readonly service: string;
  slots: number;
  /** Unix time of the start of the target that is described; null if it was not announced. */
  startedAt: number | null;
  /** Calls that the target reported at `loadAt` beyond the in-flight counts of all hosts. */
  unattributedCalls: number;
  /** Monotonic time of the last load report; -Infinity before the first. */
  loadAt: number;
  /** Latency in percent of the usual. */
  pace: number;
  paceAt: number;
  /** Calls that this host has in flight at the target. */
  ownInFlight: number;
  coldUntil: number;
  /** Calls per second that the target takes from all hosts, as stated at `callLimitAt`. */
  callLimit: number;
  callLimitAt: number;
  /**
   * Monotonic time until which the target wants no calls from this host; Infinity once it has stated
   * that it is leaving.
   */
  quietUntil: number;
  /**
   * Calls that this host may have in flight at the target; finite after a time without calls, until
   * answers have shown that the target takes them again.
   */
  callAllowance: number;
  /** Share of recent calls that failed, from 0 to 1, as of `failureAt`. */
  failureShare: number;
  failureAt: number;
  /** Monotonic time of the last reported sign that the target is up: an answer or a refusal. */
  confirmedHealthyAt: number;
  /** Monotonic time at which the target was announced, or announced again after a restart. */
  announcedAt: number;
  /** Monotonic time of the last sign that the target is unreachable or restarted; 0 for none. */
  lostAt: number;
  /** Whether the last health check found the target unhealthy. */
  isUnhealthy: boolean;
}

/** Whether the target awaits its first health check since it was announced. */
export function isUnchecked({
  confirmedHealthyAt,
  lostAt,
  announcedAt,
}: TargetStatistics): boolean {
  return confirmedHealthyAt === -Infinity && lostAt <= announcedAt;
}
