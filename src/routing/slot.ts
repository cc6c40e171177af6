import { type Result } from 'ts-results';

import { type NotRun } from '../outcomes';
import { type Target } from '../sheet';

import { type AttemptResult } from './attemptResult';

/** The right to have one call in flight at a target. */
export interface Slot {
  readonly target: Target;
  /** Why the target was chosen, for the decision log. */
  readonly reason: string;
  /** Number of targets among which the choice was made. */
  readonly candidates: number;
  /** Called just before the call is sent; an error means that it must not be sent. */
  maySend(): Result<void, NotRun>;
  /** Records that the head of the answer arrived, for the answer time of the target. */
  recordAnswerHead(): void;
  /** Releases the slot; must be called exactly once. */
  finish(result: AttemptResult): void;
}
