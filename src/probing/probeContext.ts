import { type Fleet } from '../fleet';
import { type Router } from '../routing';
import { type Clock, type Random } from '../runtime';

import { type ProbeTransport } from './probeTransport';

/** Dependencies of probing. */
export interface ProbeContext {
  readonly fleet: Fleet;
  readonly router: Router;
  readonly clock: Clock;
  readonly random: Random;
  readonly transport: ProbeTransport;
}
