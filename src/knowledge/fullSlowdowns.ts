// Share of a new answer in the estimate: about the last thirty answers of full targets count.
const WEIGHT = 0.03;
// Until answers of full targets tell: some kinds of target take 1.7 times as long when their last
// slot is taken, others do not slow down at all.
const FIRST_FACTOR = 1.5;
const LEAST_FACTOR = 1;
const MOST_FACTOR = 3;

/** How much longer work takes at targets of each service when their last slot is taken. */
export class FullSlowdowns {
  private readonly factors = new Map<string, number>();

  /** The factor for a service; 1 when full targets are as quick as others. */
  get(service: string): number {
    return this.factors.get(service) ?? FIRST_FACTOR;
  }

  /** Takes how many times the usual time the answer of a full target took. */
  note(service: string, factor: number): void {
    const bounded = Math.max(LEAST_FACTOR, Math.min(factor, MOST_FACTOR));
    const held = this.get(service);
    this.factors.set(service, held + WEIGHT * (bounded - held));
  }
}
