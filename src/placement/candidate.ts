/** What is known of one target when a call is placed; all times are monotonic milliseconds. */
export interface Candidate {
  readonly target: string;
  /** In this host's zone, so that a call crosses no zone border. */
  readonly isNear: boolean;
  readonly slots: number;
  /** Calls that are estimated to run or wait there at this moment. */
  readonly load: number;
  /** Time that work takes there, in percent of the usual. */
  readonly pace: number;
  /** Age of the pace in milliseconds; Infinity when it was never reported. */
  readonly paceAge: number;
  /** Share of recent calls that failed, 0 to 1. */
  readonly failureShare: number;
  /** The last probe called it ill. */
  readonly isIll: boolean;
  /** This host has an open connection to it that is free. */
  readonly isConnected: boolean;
  readonly isCold: boolean;
  /** Nothing good was seen since the target was lost, so that it may have started again. */
  readonly isUnconfirmed: boolean;
}
