/** State of one target at the time a call is placed; all times are monotonic milliseconds. */
export interface Candidate {
  readonly target: string;
  /** Whether the target is in the zone of this host, so that calls cause no cross-zone traffic. */
  readonly isSameZone: boolean;
  /** Whether this host uses the target before others, so that it is told of each change of its state. */
  readonly isUsed: boolean;
  readonly slots: number;
  /** Estimated number of calls that run or wait at the target now. */
  readonly load: number;
  /** Latency of the target in percent of the usual. */
  readonly pace: number;
  /** Age of the pace in milliseconds; Infinity if it was never reported. */
  readonly paceAge: number;
  /** Share of recent calls that failed, from 0 to 1. */
  readonly failureShare: number;
  /** Whether the last health check found the target unhealthy. */
  readonly isUnhealthy: boolean;
  /** Whether this host holds an idle open connection to the target. */
  readonly isConnected: boolean;
  readonly isCold: boolean;
  /** Time in milliseconds until the limit of the target allows this host a call. */
  readonly limitedForMs: number;
  /** Whether no success was observed since the target became unreachable; it may have restarted. */
  readonly isUnconfirmed: boolean;
  /** Whether it is unconfirmed only because its first health check is still awaited. */
  readonly isUnchecked: boolean;
}
