// Share of a new answer in the estimate: about the last twenty answers count.
const WEIGHT = 0.05;
// Usual work takes about this share of the latency objective that operators set for it.
const FIRST_SHARE = 0.36;
// One answer moves the estimate at most by this factor, so that a stalled one does not distort it.
const LARGEST_FACTOR = 3;

/** Usual time of the work of each kind of call, in milliseconds at the usual pace. */
export class WorkEstimates {
  private readonly estimates = new Map<string, number>();

  /** The estimate for `kind`, which begins as a share of its latency objective. */
  get(kind: string, objectiveMs: number): number {
    return this.estimates.get(kind) ?? objectiveMs * FIRST_SHARE;
  }

  /** Takes the time of an answer of a target that worked at `pace` percent. */
  note(kind: string, objectiveMs: number, elapsedMs: number, pace: number): void {
    const held = this.get(kind, objectiveMs);
    const usual = Math.min((elapsedMs * 100) / Math.max(50, pace), held * LARGEST_FACTOR);
    this.estimates.set(kind, held + WEIGHT * (usual - held));
  }
}
