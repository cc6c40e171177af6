import { type Result } from 'ts-results';

import { type NotRun } from '../outcomes';

import { type CallTraits } from './callTraits';
import { type PoolState } from './poolState';
import { type Slot } from './slot';

/** The targets of one service to which this host may send calls. */
export interface TargetPool {
  /** Acquires a slot, waiting for one if necessary; "not run" when none will be free in time. */
  acquire(call: CallTraits): Promise<Result<Slot, NotRun>>;
  /** Load of the pool, as reported to entry hosts. */
  state(): PoolState;
}
