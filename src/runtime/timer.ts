/** A pending timer of a `Clock`. */
export interface Timer {
  /** Prevents the timer from firing; harmless when it already fired. */
  cancel(): void;
}
