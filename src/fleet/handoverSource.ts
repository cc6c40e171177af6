/** What the owner of a target knows when it stops sending calls to it. */
export interface ReleasedState {
  /** Calls sent, or holding a slot, that have not ended; those inherited and reserved included. */
  readonly callsInFlight: number;
  /** Monotonic time by which the last of these calls must have ended; 0 when there is none. */
  readonly lastDeadline: number;
  readonly limit: number;
  /** Monotonic time until which the target stays cold; 0 when it is warm. */
  readonly coldUntil: number;
  /** Instance identity last seen; empty when none was. */
  readonly instance: string;
}

/** Tells the state of targets that this host stops owning; implemented by routing. */
export interface HandoverSource {
  /**
   * State of a target after the view that ends the ownership was applied, so that no further call
   * can leave; null when no call was ever sent to it from here.
   */
  describe(targetId: string): ReleasedState | null;
}
