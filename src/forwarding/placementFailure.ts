import { type NotRun, type OutcomeUnknown } from '../outcomes';

/** Why a placement of a call gave no answer. */
export interface PlacementFailure {
  readonly outcome: NotRun | OutcomeUnknown;
  /** Target that was tried; null when the call came to none. */
  readonly target: string | null;
}
