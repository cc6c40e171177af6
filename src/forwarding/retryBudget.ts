import { type Clock } from '../runtime';

const BUCKET_MS = 1000;
const BUCKETS = 10;

/** Limits the retries and hedges of one service to a share of its calls of the last 10 s. */
export class RetryBudget {
  private readonly calls = new Float64Array(BUCKETS);

  private readonly repeats = new Float64Array(BUCKETS);

  private callSum = 0;

  private repeatSum = 0;

  private second: number;

  constructor(private readonly clock: Clock) {
    this.second = Math.floor(clock.now() / BUCKET_MS);
  }

  /** Counts a call of a caller. */
  countCall(): void {
    this.calls[this.roll()]! += 1;
    this.callSum += 1;
  }

  /** Takes `cost` repeats out of the budget of `percent` of the calls; false when it is used up. */
  take(percent: number, cost = 1): boolean {
    const bucket = this.roll();
    if (this.repeatSum + cost > (this.callSum * percent) / 100) return false;
    this.repeats[bucket]! += cost;
    this.repeatSum += cost;
    return true;
  }

  /** Clears the buckets that have become older than 10 s and returns the current one. */
  private roll(): number {
    const now = Math.floor(this.clock.now() / BUCKET_MS);
    const steps = Math.min(BUCKETS, now - this.second);
    for (let step = 0; step < steps; step += 1) {
      const bucket = (now - step) % BUCKETS;
      this.callSum -= this.calls[bucket]!;
      this.repeatSum -= this.repeats[bucket]!;
      this.calls[bucket] = 0;
      this.repeats[bucket] = 0;
    }
    this.second = now;
    return now % BUCKETS;
  }
}
