/** How a call ended; each call ends in exactly one way. */
export type OutcomeKind =
  /** The target's whole answer was handed to the caller's connection. */
  | 'whole-answer'
  /** The call did not run and its caller was told so. */
  | 'not-run'
  /** The call may have run and its caller was told so. */
  | 'outcome-unknown'
  /** The answer ended early and the caller's connection was closed. */
  | 'truncated'
  /** The caller went away before the call ended. */
  | 'caller-gone';
