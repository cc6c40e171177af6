/** One occurrence of a condition. */
export interface Finding {
  /** What it concerns; empty for the whole fleet. */
  readonly subject: string;
  readonly detail: string;
  /** Monotonic time since which it is known to hold; null when it was seen just now. */
  readonly since: number | null;
}
