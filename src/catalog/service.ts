/** What holds for all targets of a service. */
export interface Service {
  readonly name: string;
  readonly probePath: string;
  /** Connections that one target accepts from all hosts together. */
  readonly connectionLimit: number;
  /** How long a target stays cold after its start, in milliseconds. */
  readonly coldPeriodMs: number;
  /** Calls a second that a cold target carries, from all hosts together. */
  readonly coldRatePerSecond: number;
}
