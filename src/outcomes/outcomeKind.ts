/** How a call ended; each call has exactly one outcome. */
export type OutcomeKind =
  /** The complete answer of the target was written to the connection of the caller. */
  | 'whole-answer'
  /** The call did not run, and the caller was informed. */
  | 'not-run'
  /** The call may have run, and the caller was informed. */
  | 'outcome-unknown'
  /** The answer ended early, and the connection of the caller was closed. */
  | 'truncated'
  /** The caller disconnected before the call ended. */
  | 'caller-gone';
