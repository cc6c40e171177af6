/** State of a target that its owner hands over to the next owner. */
export interface TargetDescription {
  readonly callsInFlight: number;
  /** Monotonic time by which the last call in flight must have ended; 0 when there is none. */
  readonly lastDeadline: number;
  readonly limit: number;
  /** Earliest monotonic time at which the cold phase ends; 0 when it has ended. */
  readonly coldUntil: number;
  /** Last instance identity that the target reported; empty when there was none. */
  readonly instance: string;
}
