import { type Fleet } from '../fleet';
import { type EventLog } from '../logging';
import { type Clock } from '../runtime';

import { type StatusSource } from './statusSource';

/** What the operators' interface works with. */
export interface OperatorContext {
  readonly hostId: string;
  /** Version of the software. */
  readonly software: string;
  /** Bearer token; when empty, only loopback addresses are admitted. */
  readonly token: string;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly fleet: Fleet;
  readonly status: StatusSource;
  /** True from the moment a graceful shutdown starts. */
  readonly isStopping: () => boolean;
}
