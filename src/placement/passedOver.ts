interface WaitingKey<Key> {
  calls: number;
  /** Placements of other keys since the last of this one, or since it waits. */
  passed: number;
  readonly passedBy: Set<Key>;
}

/** Counts the waiting calls by key, and the placements that each waiting key has been passed over. */
export class PassedOver<Key> {
  private readonly waiting = new Map<Key, WaitingKey<Key>>();

  /** `maxPassed` is how often a key may be passed over, by the number of keys that compete. */
  constructor(private readonly maxPassed: (keys: number) => number) {}

  add(key: Key): void {
    const entry = this.waiting.get(key);
    if (entry === undefined) this.waiting.set(key, { calls: 1, passed: 0, passedBy: new Set() });
    else entry.calls += 1;
  }

  remove(key: Key): void {
    const entry = this.waiting.get(key)!;
    entry.calls -= 1;
    if (entry.calls === 0) this.waiting.delete(key);
  }

  recordPlaced(placed: Key): void {
    for (const [key, entry] of this.waiting) {
      if (key === placed) {
        entry.passed = 0;
        entry.passedBy.clear();
      } else {
        entry.passed += 1;
        entry.passedBy.add(placed);
      }
    }
  }

  /** The key that was passed over most often, if at least as often as allowed; else undefined. */
  due(): Key | undefined {
    let due: Key | undefined;
    let mostPassed = 0;
    for (const [key, { passed, passedBy }] of this.waiting) {
      const maxPassed = this.maxPassed(Math.max(this.waiting.size, passedBy.size + 1));
      if (passed <= mostPassed || passed < maxPassed) continue;
      due = key;
      mostPassed = passed;
    }
    return due;
  }
}
