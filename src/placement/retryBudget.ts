import { type Clock } from '../runtime';

const BUCKET_COUNT = 20;

/** Limits on the retries of one service, as agreed with its operators. */
export interface RetryBudgetLimits {
  /** Retries allowed for each first attempt within the window. */
  readonly ratio: number;
  /** Additional retries that all hosts together may send in a window. */
  readonly slack: number;
  readonly windowMs: number;
}

function sum(values: Float64Array): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}

/**
 * Limits the retries that this host sends to one service. Each host may retry a share of its own
 * first attempts, so that the sum over all hosts keeps the ratio when hosts start, crash or are
 * partitioned. The slack is divided by the number of hosts and accrues over a window after a start.
 */
export class RetryBudget {
  private readonly firstAttempts = new Float64Array(BUCKET_COUNT);

  private readonly retries = new Float64Array(BUCKET_COUNT);

  private currentBucket = 0;

  constructor(
    private readonly clock: Clock,
    private readonly limits: RetryBudgetLimits,
    /** Monotonic time at which the process started; retries of an earlier process are unknown. */
    private readonly startedAt: number,
  ) {
    this.currentBucket = this.bucketAt(clock.now());
  }

  /** Records the first attempt of a call. */
  recordFirstAttempt(): void {
    this.advance();
    this.firstAttempts[this.currentBucket % BUCKET_COUNT]! += 1;
  }

  /** Acquires one retry if the budget allows it; `hosts` is the most hosts that may share it. */
  tryAcquire(hosts: number): boolean {
    this.advance();
    const index = this.currentBucket % BUCKET_COUNT;
    if (sum(this.retries) + 1 > this.allowedRetries(hosts)) return false;
    this.retries[index]! += 1;
    return true;
  }

  /** Returns a retry that was acquired a moment ago and not sent. */
  release(): void {
    this.advance();
    // The oldest one, so that no other ends earlier than it should.
    for (let offset = 1; offset <= BUCKET_COUNT; offset += 1) {
      const index = (this.currentBucket + offset) % BUCKET_COUNT;
      if (this.retries[index]! > 0) {
        this.retries[index]! -= 1;
        return;
      }
    }
  }

  private allowedRetries(hosts: number): number {
    const age = Math.min(1, (this.clock.now() - this.startedAt) / this.limits.windowMs);
    return this.limits.ratio * sum(this.firstAttempts) + (this.limits.slack * age) / hosts;
  }

  private bucketAt(now: number): number {
    return Math.floor((now / this.limits.windowMs) * BUCKET_COUNT);
  }

  private advance(): void {
    const newBucket = this.bucketAt(this.clock.now());
    for (
      let bucket = Math.max(this.currentBucket + 1, newBucket - BUCKET_COUNT + 1);
      bucket <= newBucket;
      bucket += 1
    ) {
      this.firstAttempts[bucket % BUCKET_COUNT] = 0;
      this.retries[bucket % BUCKET_COUNT] = 0;
    }
    this.currentBucket = newBucket;
  }
}
