/** The call was sent but no complete answer was received; it may or may not have run. */
export interface OutcomeUnknown {
  readonly kind: 'outcome-unknown';
  readonly cause: 'connection-lost' | 'deadline';
  readonly detail: string;
}

/** Creates an "outcome unknown" outcome. */
export function outcomeUnknown(cause: OutcomeUnknown['cause'], detail: string): OutcomeUnknown {
  return Object.freeze({ kind: 'outcome-unknown', cause, detail });
}
