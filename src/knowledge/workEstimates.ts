// Weight of a new answer in the moving average: about the last twenty answers count.
const SMOOTHING_WEIGHT = 0.05;
// The usual service time is about this share of the latency objective that operators set.
const INITIAL_OBJECTIVE_SHARE = 0.36;
// Samples are capped at this multiple of the estimate, so that a stalled answer does not distort
// it.
const MAX_SAMPLE_FACTOR = 3;

/** Service time of each kind of call at the usual pace, in milliseconds. */
export class WorkEstimates {
  private readonly estimates = new Map<string, number>();

  /** The estimate for `kind`, which is initially a share of its latency objective. */
  get(kind: string, objectiveMs: number): number {
    return this.estimates.get(kind) ?? objectiveMs * INITIAL_OBJECTIVE_SHARE;
  }

  /** Records the time of an answer from a target with a latency of `pace` percent of the usual. */
  record(kind: string, objectiveMs: number, elapsedMs: number, pace: number): void {
    const previous = this.get(kind, objectiveMs);
    const sample = Math.min((elapsedMs * 100) / Math.max(50, pace), previous * MAX_SAMPLE_FACTOR);
    this.estimates.set(kind, previous + SMOOTHING_WEIGHT * (sample - previous));
  }
}
