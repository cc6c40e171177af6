import { type Result } from 'ts-results';

import { type NotRun } from '../outcomes';
import { type Target } from '../sheet';

import { type AttemptResult } from './attemptResult';

/** The right to have one call in flight at a target. */
export interface Slot {
  readonly target: Target;
  /** Why the target was chosen, for the decision log. */
  readonly reason: string;
  /** Number of targets that the choice was made from. */
  readonly candidates: number;
  /** Checked at the moment the call leaves; an error means that it must not be sent. */
  mayLeave(): Result<void, NotRun>;
  /** The head of the answer arrived; its time counts for the target. */
  answered(): void;
  /** Returns the slot; called exactly once. */
  finish(result: AttemptResult): void;
}
