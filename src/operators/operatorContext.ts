import { type Fleet } from '../fleet';
import { type EventLog } from '../logging';
import { type Clock } from '../runtime';

import { type StatusSource } from './statusSource';

/** Dependencies and settings of the operators' interface. */
export interface OperatorContext {
  readonly hostId: string;
  /** Software version. */
  readonly software: string;
  /** Bearer token; when empty, only loopback addresses are allowed. */
  readonly token: string;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly fleet: Fleet;
  readonly status: StatusSource;
  /** Returns true once a graceful shutdown has started. */
  readonly isStopping: () => boolean;
}
