import { type Result } from 'ts-results';

import { type NotRun } from '../outcomes';
import { type Timer } from '../runtime';

import { type CallTraits } from './callTraits';
import { type Slot } from './slot';

/** A call in the wait queue. */
export interface Waiter {
  readonly call: CallTraits;
  readonly rank: number;
  /** Latest monotonic time at which the call can start and still meet its deadline. */
  readonly latestStart: number;
  readonly settle: (result: Result<Slot, NotRun>) => void;
  /** Fires when the call must not wait any longer; null until it is set. */
  timer: Timer | null;
}
