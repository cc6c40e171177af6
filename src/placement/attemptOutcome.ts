/** How one attempt of a call ended, as far as it decides on retries and the answer. */
export type AttemptOutcome =
  /** The target gave a complete answer, which is returned to the caller. */
  | 'answered'
  /** The target answered with an error and may have run the call. */
  | 'failed'
  /** The target stated that it did not run the call. */
  | 'notRun'
  /** No byte of the call was sent. */
  | 'notSent'
  /** No byte of the call was sent, because its target takes no calls any more. */
  | 'withdrawn'
  /** The call was sent and may have run, but there is no usable answer. */
  | 'unknown';
