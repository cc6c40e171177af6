import { type Clock, type Random } from '../runtime';

import { type Invariants } from './invariants';
import { type PriorityRanks } from './priorityRanks';

/** Dependencies of a pool. */
export interface PoolContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly invariants: Invariants;
  /** True until the deadline of this host's view of the fleet. */
  readonly viewIsCurrent: () => boolean;
  readonly ranks: () => PriorityRanks;
}
