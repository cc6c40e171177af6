/** One occurrence of a condition. */
export interface Finding {
  /** The affected zone, service, version or fingerprint; empty for the whole fleet. */
  readonly subject: string;
  readonly detail: string;
  /** Monotonic time since which it is known to hold; null when it was first observed now. */
  readonly since: number | null;
}
