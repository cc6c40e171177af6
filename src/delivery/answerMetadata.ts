/** Metadata in the headers of a target's answer. */
export interface AnswerMetadata {
  /** Id of the call that the answer belongs to; null when the answer has none. */
  readonly callId: string | null;
  /** Whether the answer carries the target's signature. */
  readonly isSigned: boolean;
  /** Whether the target states that it did not run the call. */
  readonly isNotRun: boolean;
  readonly load: TargetLoad | null;
  /** Calls per second that the target takes from all hosts; null when it states no limit. */
  readonly callLimit: number | 'unreadable' | null;
  /** Whether the target states that it is leaving. */
  readonly isLeaving: boolean;
  /** Time for which a target that turns a call away wants none, in milliseconds; null without one. */
  readonly quietMs: number | null;
  /** Remaining warm-up of the target in milliseconds; null when not reported. */
  readonly coldLeft: number | null;
  /** Id of the target that answered; null when not reported. */
  readonly target: string | null;
}

/** Load that a target reports of itself. */
export interface TargetLoad {
  readonly running: number;
  readonly waiting: number;
  /** Current latency in percent of the usual; null when not reported. */
  readonly pace: number | null;
}
