import { type Clock, type Random } from '../runtime';

import { type Invariants } from './invariants';
import { type PriorityRanks } from './priorityRanks';

/** What a pool needs of its surroundings. */
export interface PoolContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly invariants: Invariants;
  /** True while this host may act on its view. */
  readonly viewIsCurrent: () => boolean;
  readonly ranks: () => PriorityRanks;
}
