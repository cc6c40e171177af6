import { type CallQuotas } from '../delivery';
import { type KeyValidity } from '../freshness';
import { type Lifecycle } from '../lifecycle';
import { type EventSink } from '../logging';
import { type PrometheusSink } from '../metrics';
import { type Clock, type Random, type SystemTimes } from '../runtime';
import { type BalancerSettings } from '../settings';

import { type BalancerAdapter } from './balancerAdapter';

/** Settings and dependencies of a balancer. */
export interface BalancerParts {
  readonly settings: BalancerSettings;
  /** The newest settings; seeds and addresses that are not open yet are taken from them. */
  readonly currentSettings: () => BalancerSettings;
  readonly adapter: BalancerAdapter;
  readonly clock: Clock;
  /** Clocks that also run while the machine is suspended. */
  readonly systemTimes: SystemTimes;
  readonly random: Random;
  readonly events: EventSink;
  readonly metrics: PrometheusSink;
  readonly lifecycle: Lifecycle;
  /** Decides in place of the proofs of this host whether callers' keys may be used. */
  readonly keys?: KeyValidity;
  /** Decides in place of the owners of quotas. */
  readonly quotas?: CallQuotas;
  readonly droppedLines: () => number;
}
