/** State of a target when its owner stops sending calls to it. */
export interface ReleasedState {
  /** Unfinished calls that were sent or hold a slot, including inherited and reserved ones. */
  readonly callsInFlight: number;
  /** Monotonic time by which the last of these calls must have ended; 0 when there is none. */
  readonly lastDeadline: number;
  readonly limit: number;
  /** Monotonic time until which the target stays cold; 0 when it is warm. */
  readonly coldUntil: number;
  /** Instance id last reported by the target; empty when there is none. */
  readonly instance: string;
}

/** Provides the state of targets that this host stops owning; implemented by routing. */
export interface HandoverSource {
  /**
   * State of a target, read after the view that ends the ownership was applied, so that no further
   * call can be sent; null when this host never sent it a call.
   */
  describe(targetId: string): ReleasedState | null;
}
