// Weight of a new answer in the moving average: about the last 30 answers of full targets count.
const SMOOTHING_WEIGHT = 0.03;
// Used until full targets have answered: some kinds of target take 1.7 times as long when their
// last slot is taken, others do not slow down at all.
const INITIAL_FACTOR = 1.5;
const MIN_FACTOR = 1;
const MAX_FACTOR = 3;

/** Factor by which the service time of each service grows at targets whose last slot is taken. */
export class LastSlotSlowdowns {
  private readonly factors = new Map<string, number>();

  /** The factor of a service; 1 if full targets are as fast as others. */
  get(service: string): number {
    return this.factors.get(service) ?? INITIAL_FACTOR;
  }

  /** Records the time of an answer from a full target as a multiple of the usual time. */
  record(service: string, factor: number): void {
    const bounded = Math.max(MIN_FACTOR, Math.min(factor, MAX_FACTOR));
    const previous = this.get(service);
    this.factors.set(service, previous + SMOOTHING_WEIGHT * (bounded - previous));
  }
}
