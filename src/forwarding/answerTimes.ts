const WINDOW_ANSWERS = 256;
// The percentile of a smaller sample would be close to its maximum or minimum.
const MIN_SAMPLE_ANSWERS = 20;
// Sorting the window for each answer would cost more than handling the answer.
const ANSWERS_PER_UPDATE = 32;
const PERCENTILE = 0.95;

/** Tracks the 95th percentile of a service's most recent response times. */
export class AnswerTimes {
  private readonly timesMs = new Float64Array(WINDOW_ANSWERS);

  private count = 0;

  private percentileMs: number | null = null;

  /** Adds the time from target selection to the response head. */
  add(milliseconds: number): void {
    this.timesMs[this.count % WINDOW_ANSWERS] = milliseconds;
    this.count += 1;
    if (this.count === MIN_SAMPLE_ANSWERS || this.count % ANSWERS_PER_UPDATE === 0)
      this.updatePercentile();
  }

  /** Delay before a call is hedged, in milliseconds; null while the sample is too small. */
  hedgeDelayMs(): number | null {
    return this.percentileMs;
  }

  private updatePercentile(): void {
    const size = Math.min(this.count, WINDOW_ANSWERS);
    if (size < MIN_SAMPLE_ANSWERS) return;
    const sorted = this.timesMs.slice(0, size).sort();
    this.percentileMs = sorted[Math.floor(size * PERCENTILE)]!;
  }
}
