import { InvariantError } from './invariantError';

/** Checks invariants at run time and counts violations. */
export class Invariants {
  /** Number of violations since the start. */
  violations = 0;

  /** Counts a violation and throws an `InvariantError` unless `holds`. */
  check(holds: boolean, rule: string): void {
    if (holds) return;
    this.violations += 1;
    throw new InvariantError(rule);
  }
}
