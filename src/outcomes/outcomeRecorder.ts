import { type OutcomeKind } from './outcomeKind';
import { type OutcomeObserver } from './outcomeObserver';
import { OutcomeRecord } from './outcomeRecord';
import { type OutcomeViolation } from './outcomeViolation';

/** Counts the outcomes of calls, and violations of the rule of one outcome for each call. */
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

  private open = 0;

  constructor(private readonly report: (violation: OutcomeViolation) => void = () => {}) {}

  /** Calls without an outcome so far. */
  callsOpen(): number {
    return this.open;
  }

  /** Starts to follow a call. */
  begin(idempotent: boolean): OutcomeRecord {
    this.open += 1;
    return new OutcomeRecord(this, idempotent);
  }

  /** Counts an outcome; called by the call's record. */
  ended(kind: OutcomeKind): void {
    this.open -= 1;
    this.outcomes[kind] += 1;
  }

  /** Counts a violation and reports it. */
  violation(violation: OutcomeViolation): void {
    this.violations[violation] += 1;
    this.report(violation);
  }

  /** Sum of all violations. */
  violationCount(): number {
    return Object.values(this.violations).reduce((sum, count) => sum + count, 0);
  }
}
