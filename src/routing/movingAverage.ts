const NEWEST_SAMPLE_WEIGHT = 0.2;
// Five samples make up two thirds of the average, so one slow answer does not decide.
const MIN_SAMPLES = 5;

/** An exponentially weighted moving average of times in milliseconds. */
export class MovingAverage {
  private average = 0;

  private samples = 0;

  /** The average in milliseconds; 0 without samples. */
  get value(): number {
    return this.average;
  }

  /** True when there are enough samples to compare the average with other targets. */
  get hasEnoughSamples(): boolean {
    return this.samples >= MIN_SAMPLES;
  }

  add(milliseconds: number): void {
    this.samples += 1;
    this.average =
      this.samples === 1
        ? milliseconds
        : this.average + NEWEST_SAMPLE_WEIGHT * (milliseconds - this.average);
  }

  /** Adds a time known only as a lower bound; it is ignored unless it exceeds the average. */
  addLowerBound(milliseconds: number): void {
    if (milliseconds > this.average) this.add(milliseconds);
  }

  /** Discards all samples. */
  reset(): void {
    this.samples = 0;
    this.average = 0;
  }
}
