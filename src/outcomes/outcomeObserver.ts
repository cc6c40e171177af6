import { type OutcomeKind } from './outcomeKind';
import { type OutcomeViolation } from './outcomeViolation';

/** What a record of one call reports to. */
export interface OutcomeObserver {
  ended(kind: OutcomeKind): void;
  violation(violation: OutcomeViolation): void;
}
