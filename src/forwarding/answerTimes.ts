const WINDOW = 256;
// A percentile of fewer answers would be close to their maximum or minimum.
const SMALLEST_SAMPLE = 20;
// Sorting the window with each answer would cost more than the answer itself.
const ANSWERS_PER_UPDATE = 32;
const PERCENTILE = 0.95;

/** The 95th percentile of a service's latest answer times. */
export class AnswerTimes {
  private readonly times = new Float64Array(WINDOW);

  private count = 0;

  private percentile: number | null = null;

  /** Adds the time from the choice of a target to the head of the answer. */
  add(milliseconds: number): void {
    this.times[this.count % WINDOW] = milliseconds;
    this.count += 1;
    if (this.count === SMALLEST_SAMPLE || this.count % ANSWERS_PER_UPDATE === 0) this.update();
  }

  /** Time after which a call is hedged, in milliseconds; null while too few answers are known. */
  hedgeAfter(): number | null {
    return this.percentile;
  }

  private update(): void {
    const size = Math.min(this.count, WINDOW);
    if (size < SMALLEST_SAMPLE) return;
    const sorted = this.times.slice(0, size).sort();
    this.percentile = sorted[Math.floor(size * PERCENTILE)]!;
  }
}
