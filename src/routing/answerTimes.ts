const WEIGHT_OF_NEWEST = 0.2;
// One slow answer must not decide; five samples hold two thirds of the smoothed value.
const SAMPLES_NEEDED = 5;

/** A smoothed time in milliseconds, such as that from sending a call to the head of its answer. */
export class AnswerTimes {
  private smoothed = 0;

  private samples = 0;

  /** The smoothed time; 0 when no answer was seen. */
  get usual(): number {
    return this.smoothed;
  }

  /** True when enough answers were seen to judge the target. */
  get settled(): boolean {
    return this.samples >= SAMPLES_NEEDED;
  }

  add(milliseconds: number): void {
    this.samples += 1;
    this.smoothed =
      this.samples === 1
        ? milliseconds
        : this.smoothed + WEIGHT_OF_NEWEST * (milliseconds - this.smoothed);
  }

  /** Counts an answer that took at least `milliseconds`; a shorter time says nothing. */
  addAtLeast(milliseconds: number): void {
    if (milliseconds > this.smoothed) this.add(milliseconds);
  }

  /** Forgets all answers, since the target is to be judged anew. */
  reset(): void {
    this.samples = 0;
    this.smoothed = 0;
  }
}
