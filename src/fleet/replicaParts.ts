import { type EventLog } from '../logging';
import { type PeerTransport } from '../peer';
import { type Clock, type Random } from '../runtime';
import { type Sheet } from '../sheet';

import { type HandoverSource } from './handoverSource';
import { type SheetSource } from './sheetSource';

/** What a host's part in the fleet is made of. */
export interface ReplicaParts {
  readonly hostId: string;
  /** Availability zone of the host; its region is the one that the host takes part in. */
  readonly zone: string;
  /** Differs after each start of the host; the same as the transport's. */
  readonly incarnation: string;
  /** The sheet known at start; a record that the fleet holds takes precedence over it. */
  readonly startSheet: Sheet;
  readonly transport: PeerTransport;
  readonly sheets: SheetSource;
  readonly handover: HandoverSource;
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
}
