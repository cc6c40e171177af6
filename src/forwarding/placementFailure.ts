import { type NotRun, type OutcomeUnknown } from '../outcomes';

/** A placement that ended without an answer. */
export interface PlacementFailure {
  readonly outcome: NotRun | OutcomeUnknown;
  /** Target that was tried; null when the call reached none. */
  readonly target: string | null;
}
