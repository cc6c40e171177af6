/** The highest value of the last period, or of up to two. */
export class RecentPeak {
  private present = 0;

  private previous = 0;

  private nextPeriodAt = -Infinity;

  constructor(private readonly periodMs: number) {}

  /** Takes a value into account; returns the highest recent one. */
  record(now: number, value: number): number {
    if (now >= this.nextPeriodAt) {
      this.previous = this.present;
      this.present = 0;
      this.nextPeriodAt = now + this.periodMs;
    }
    this.present = Math.max(this.present, value);
    return Math.max(this.present, this.previous);
  }
}
