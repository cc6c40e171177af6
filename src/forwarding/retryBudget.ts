import { type Clock } from '../runtime';

const BUCKET_MS = 1000;
const BUCKET_COUNT = 10;

/** Limits retries and hedges of a service to a percentage of its calls in the last 10 s. */
export class RetryBudget {
  private readonly calls = new Float64Array(BUCKET_COUNT);

  private readonly extraAttempts = new Float64Array(BUCKET_COUNT);

  private callSum = 0;

  private extraAttemptSum = 0;

  private currentSecond: number;

  constructor(private readonly clock: Clock) {
    this.currentSecond = Math.floor(clock.now() / BUCKET_MS);
  }

  /** Counts a call received from a caller. */
  countCall(): void {
    this.calls[this.advance()]! += 1;
    this.callSum += 1;
  }

  /** Consumes `cost` attempts if the budget, `percent` of the calls, allows it; false otherwise. */
  tryAcquire(percent: number, cost = 1): boolean {
    const bucket = this.advance();
    if (this.extraAttemptSum + cost > (this.callSum * percent) / 100) return false;
    this.extraAttempts[bucket]! += cost;
    this.extraAttemptSum += cost;
    return true;
  }

  /** Clears the buckets older than 10 s and returns the index of the current one. */
  private advance(): number {
    const now = Math.floor(this.clock.now() / BUCKET_MS);
    const steps = Math.min(BUCKET_COUNT, now - this.currentSecond);
    for (let step = 0; step < steps; step += 1) {
      const bucket = (now - step) % BUCKET_COUNT;
      this.callSum -= this.calls[bucket]!;
      this.extraAttemptSum -= this.extraAttempts[bucket]!;
      this.calls[bucket] = 0;
      this.extraAttempts[bucket] = 0;
    }
    this.currentSecond = now;
    return now % BUCKET_COUNT;
  }
}
