/** One server of a service, as it was last announced. */
export interface Target {
  readonly id: string;
  readonly service: string;
  /** IP address and port, joined by a colon. */
  readonly address: string;
  readonly zone: string;
  /** Calls that the target runs at the same time. */
  readonly slots: number;
  readonly state: TargetState;
  /** Monotonic time in milliseconds until which the announcement calls the target cold. */
  readonly coldUntil: number;
  /** Unix time of the target's start in milliseconds; null when it was not announced. */
  readonly startedAt: number | null;
}

/** `leaving`: the target finishes its calls and takes no new ones. */
export type TargetState = 'ready' | 'leaving';
