import { type Clock } from '../runtime';

const BUCKETS = 20;

/** Bounds of repeats, as the operators agreed them. */
export interface RetryBounds {
  /** Repeats allowed for each first send of the window. */
  readonly ratio: number;
  /** Repeats that all hosts together may send beyond that in a window. */
  readonly slack: number;
  readonly windowMs: number;
}

function sum(values: Float64Array): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}

/**
 * Counts the repeats that this host sends to one service. Each host spends a share of its own first
 * sends, so that the sum over all hosts keeps the ratio whoever starts, dies or is cut off; the
 * slack is divided by the number of hosts and accrues over a window after a start.
 */
export class RetryBudget {
  private readonly firsts = new Float64Array(BUCKETS);

  private readonly repeats = new Float64Array(BUCKETS);

  private bucket = 0;

  constructor(
    private readonly clock: Clock,
    private readonly bounds: RetryBounds,
    /** Monotonic time at which the process started; what it spent before is not known. */
    private readonly startedAt: number,
  ) {
    this.bucket = this.bucketAt(clock.now());
  }

  /** Counts the first send of a call. */
  noteFirst(): void {
    this.turn();
    this.firsts[this.bucket % BUCKETS]! += 1;
  }

  /** Takes one repeat if the window has room; `hosts` is the most hosts that may be spending. */
  take(hosts: number): boolean {
    this.turn();
    const index = this.bucket % BUCKETS;
    if (sum(this.repeats) + 1 > this.allowed(hosts)) return false;
    this.repeats[index]! += 1;
    return true;
  }

  private allowed(hosts: number): number {
    const age = Math.min(1, (this.clock.now() - this.startedAt) / this.bounds.windowMs);
    return this.bounds.ratio * sum(this.firsts) + (this.bounds.slack * age) / hosts;
  }

  private bucketAt(now: number): number {
    return Math.floor((now / this.bounds.windowMs) * BUCKETS);
  }

  private turn(): void {
    const now = this.bucketAt(this.clock.now());
    for (let passed = Math.max(this.bucket + 1, now - BUCKETS + 1); passed <= now; passed += 1) {
      this.firsts[passed % BUCKETS] = 0;
      this.repeats[passed % BUCKETS] = 0;
    }
    this.bucket = now;
  }
}
