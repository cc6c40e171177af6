import { type OutcomeKind } from './outcomeKind';
import { type OutcomeObserver } from './outcomeObserver';
import { OutcomeRecord } from './outcomeRecord';
import { type OutcomeViolation } from './outcomeViolation';

/** Counts the outcomes of calls and violations of the rule that each call has one outcome. */
export class OutcomeRecorder implements OutcomeObserver {
  readonly outcomes: Record<OutcomeKind, number> = {
    'whole-answer': 0,
    'not-run': 0,
    'outcome-unknown': 0,
    truncated: 0,
    'caller-gone': 0,
  };

  readonly violations: Record<OutcomeViolation, number> = {
    'second-outcome': 0,
    'second-send': 0,
    'missing-outcome': 0,
  };

  private openCalls = 0;

  constructor(private readonly onViolation: (violation: OutcomeViolation) => void = () => {}) {}

  /** Number of calls that have no outcome yet. */
  openCallCount(): number {
    return this.openCalls;
  }

  /** Starts tracking a call. */
  begin(isIdempotent: boolean): OutcomeRecord {
    this.openCalls += 1;
    return new OutcomeRecord(this, isIdempotent);
  }

  /** Counts an outcome; called by the record of the call. */
  recordOutcome(kind: OutcomeKind): void {
    this.openCalls -= 1;
    this.outcomes[kind] += 1;
  }

  /** Counts a violation and reports it to the callback. */
  recordViolation(violation: OutcomeViolation): void {
    this.violations[violation] += 1;
    this.onViolation(violation);
  }

  /** Total number of violations. */
  violationCount(): number {
    return Object.values(this.violations).reduce((sum, count) => sum + count, 0);
  }
}
