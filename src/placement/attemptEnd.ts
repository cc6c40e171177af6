/** How one attempt of a call ended, as far as further attempts and the answer depend on it. */
export type AttemptEnd =
  /** A whole answer that the caller gets. */
  | 'answered'
  /** The target answered with a failure of its own, after it may have run the call. */
  | 'failed'
  /** The target said that it did not run the call. */
  | 'notRun'
  /** Nothing of the call was sent. */
  | 'notSent'
  /** The call was sent and may have run; there is no usable answer. */
  | 'unknown';
