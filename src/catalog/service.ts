/** Settings that apply to all targets of a service. */
export interface Service {
  readonly name: string;
  readonly probePath: string;
  /** Maximum number of connections that one target accepts, over all hosts. */
  readonly connectionLimit: number;
  /** Duration for which a target is cold after its start, in milliseconds. */
  readonly coldPeriodMs: number;
  /** Calls a second that a cold target can execute, over all hosts. */
  readonly coldRatePerSecond: number;
}
