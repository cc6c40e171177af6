import { type OutcomeKind } from './outcomeKind';
import { type OutcomeViolation } from './outcomeViolation';

/** Receives the outcome and the violations of a single call. */
export interface OutcomeObserver {
  recordOutcome(kind: OutcomeKind): void;
  recordViolation(kind: OutcomeViolation): void;
}
