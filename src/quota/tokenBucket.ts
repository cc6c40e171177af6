const MS_PER_SECOND = 1000;

/** Grants `callsPerSecond` calls, and up to `capacity` calls that were not used before at once. */
export class TokenBucket {
  constructor(
    private countedAt: number,
    private callsPerSecond: number,
    private capacity: number,
    private tokens: number,
  ) {}

  /** Tokens that the bucket has at `now`. */
  level(now: number): number {
    const added = (Math.max(0, now - this.countedAt) * this.callsPerSecond) / MS_PER_SECOND;
    return Math.min(this.capacity, this.tokens + added);
  }

  /** Tokens that it can hold. */
  size(): number {
    return this.capacity;
  }

  /** Takes a token; the time in milliseconds until there is one, 0 if one was taken. */
  take(now: number): number {
    this.count(now);
    if (this.tokens < 1) return ((1 - this.tokens) * MS_PER_SECOND) / this.callsPerSecond;
    this.tokens -= 1;
    return 0;
  }

  /** Returns tokens that were taken and not used. */
  giveBack(now: number, tokens: number): void {
    this.count(now);
    this.tokens = Math.min(this.capacity, this.tokens + tokens);
  }

  /** Applies another rate and capacity from now on. */
  change(now: number, callsPerSecond: number, capacity: number): void {
    if (callsPerSecond === this.callsPerSecond && capacity === this.capacity) return;
    this.count(now);
    this.tokens = Math.min(capacity, this.tokens);
    this.callsPerSecond = callsPerSecond;
    this.capacity = capacity;
  }

  private count(now: number): void {
    this.tokens = this.level(now);
    this.countedAt = Math.max(this.countedAt, now);
  }
}
