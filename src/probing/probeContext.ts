import { type Fleet } from '../fleet';
import { type Router } from '../routing';
import { type Clock, type Random } from '../runtime';

import { type ProbeTransport } from './probeTransport';

/** What probing needs of the gateway. */
export interface ProbeContext {
  readonly fleet: Fleet;
  readonly router: Router;
  readonly clock: Clock;
  readonly random: Random;
  readonly transport: ProbeTransport;
}
