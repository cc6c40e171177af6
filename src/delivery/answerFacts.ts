/** What a target's answer says beside its status and body. */
export interface AnswerFacts {
  /** Id of the call that the answer belongs to; null when it names none. */
  readonly callId: string | null;
  /** Whether it bears the target's signature. */
  readonly isSigned: boolean;
  /** Whether the target states that it did not run the call. */
  readonly saysNotRun: boolean;
  readonly load: TargetLoad | null;
  /** How much longer the target stays cold, in milliseconds; null when it does not say. */
  readonly coldLeft: number | null;
  /** Id of the target that answered; null when it does not say. */
  readonly target: string | null;
}

/** Load of a target as it reports it. */
export interface TargetLoad {
  readonly running: number;
  readonly waiting: number;
  /** Time that work takes at this moment, in percent of the usual; null when it does not say. */
  readonly pace: number | null;
}
