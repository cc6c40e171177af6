import { type Fleet } from '../fleet';
import { type DecisionLog } from '../logging';
import { type OutcomeRecorder } from '../outcomes';
import { type Router } from '../routing';
import { type Clock } from '../runtime';

import { type AttemptObserver } from './attemptObserver';
import { type ConnectionPools } from './connectionPools';
import { type ForwardingMetrics } from './forwardingMetrics';
import { type LoadShedder } from './loadShedder';
import { type RelayContext } from './relay';

/** Dependencies of the forwarding module, provided by the gateway. */
export interface ForwarderContext {
  readonly hostId: string;
  readonly fleet: Fleet;
  readonly router: Router;
  readonly clock: Clock;
  readonly decisions: DecisionLog;
  readonly targetPools: ConnectionPools;
  readonly relay: RelayContext;
  readonly recorder: OutcomeRecorder;
  readonly metrics: ForwardingMetrics;
  readonly loadShedder: LoadShedder;
  readonly observer: AttemptObserver;
}
