/** State of an owned target that is passed to its next owner. */
export interface TargetDescription {
  readonly callsInFlight: number;
  /** Monotonic time by which the last call in flight must have ended; 0 when there is none. */
  readonly lastDeadline: number;
  readonly limit: number;
  /** Monotonic time until which the target stays cold at least; 0 when it is warm. */
  readonly coldUntil: number;
  /** Instance identity last seen; empty when none was. */
  readonly instance: string;
}
