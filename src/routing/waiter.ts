import { type Result } from 'ts-results';

import { type NotRun } from '../outcomes';
import { type Timer } from '../runtime';

import { type CallTraits } from './callTraits';
import { type Slot } from './slot';

/** A call that waits for a slot. */
export interface Waiter {
  readonly call: CallTraits;
  readonly rank: number;
  /** Monotonic time after which the call could not end before its deadline. */
  readonly latestStart: number;
  readonly settle: (result: Result<Slot, NotRun>) => void;
  /** Fires when the call can no longer wait. */
  timer: Timer | null;
}
