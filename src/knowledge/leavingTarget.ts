/** A start of a target that has stated that it is leaving. */
export interface LeavingTarget {
  readonly id: string;
  /** Unix time of the start; null if it was not announced. */
  readonly startedAt: number | null;
}
