import { type ReplicatedFleet } from '../fleet';
import { type Lifecycle } from '../lifecycle';
import { type EventLog } from '../logging';
import { type MetricsSink } from '../metrics';
import { type Clock, type Random } from '../runtime';
import { type GatewaySettings } from '../settings';

import { type Gateway } from './gateway';

/** A gateway that serves calls, with the dependencies of the components started after it. */
export interface RunningGateway {
  readonly settings: GatewaySettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly metrics: MetricsSink;
  readonly lifecycle: Lifecycle;
  readonly fleet: ReplicatedFleet;
  readonly gateway: Gateway;
}
