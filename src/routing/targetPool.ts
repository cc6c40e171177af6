import { type Result } from 'ts-results';

import { type NotRun } from '../outcomes';

import { type CallTraits } from './callTraits';
import { type PoolState } from './poolState';
import { type Slot } from './slot';

/** Targets of one service to which this host may send calls. */
export interface TargetPool {
  /** A slot for the call, at once or when one is free; "not run" when there will be none in time. */
  acquire(call: CallTraits): Promise<Result<Slot, NotRun>>;
  /** Load of the pool, as told to the entries. */
  state(): PoolState;
}
