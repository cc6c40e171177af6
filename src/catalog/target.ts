/** A target of a service, as last announced. */
export interface Target {
  readonly id: string;
  readonly service: string;
  /** IP address and port, joined by a colon. */
  readonly address: string;
  readonly zone: string;
  /** Calls that the target executes concurrently. */
  readonly slots: number;
  readonly state: TargetState;
  /**
   * Monotonic time in milliseconds until which the target is cold according to its announcement.
   */
  readonly coldUntil: number;
  /** Unix time of the target's start in milliseconds; null when it was not announced. */
  readonly startedAt: number | null;
}

/** `leaving`: the target drains; it completes its calls and accepts no new ones. */
export type TargetState = 'ready' | 'leaving';
