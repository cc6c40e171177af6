interface Sample<Value> {
  readonly at: number;
  readonly value: Value;
}

const MAX_SAMPLES = 10_000;

/** A value that is read with a delay. */
export class LaggingValue<Value> {
  private samples: Sample<Value>[] = [];

  constructor(private readonly initial: Value) {}

  /** Records the current value. */
  set(value: Value): void {
    this.samples.push({ at: performance.now(), value });
    if (this.samples.length > MAX_SAMPLES) {
      this.samples = this.samples.slice(MAX_SAMPLES / 2);
    }
  }

  /** Returns the value as of `lagMs` ago. */
  get(lagMs: number): Value {
    const at = performance.now() - lagMs;
    for (let index = this.samples.length - 1; index >= 0; index -= 1) {
      const sample = this.samples[index]!;
      if (sample.at <= at) return sample.value;
    }
    return this.initial;
  }
}
