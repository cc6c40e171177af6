import { type EventLog } from '../logging';
import { type PeerTransport } from '../peer';
import { type Clock, type Random } from '../runtime';
import { type Sheet } from '../sheet';

import { type HandoverSource } from './handoverSource';
import { type SheetSource } from './sheetSource';

/** Dependencies and identity of a replica. */
export interface ReplicaParts {
  readonly hostId: string;
  /** Availability zone of the host, which determines the region it belongs to. */
  readonly zone: string;
  /** Id of this process, new on each start and equal to the transport's. */
  readonly incarnation: string;
  /** Sheet known at start; a record committed by the fleet takes precedence over it. */
  readonly startSheet: Sheet;
  readonly transport: PeerTransport;
  readonly sheets: SheetSource;
  readonly handover: HandoverSource;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
}
