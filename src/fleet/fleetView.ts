import { type OperationIndex, type Sheet } from '../sheet';

import { type FleetRecord } from './fleetRecord';
import { type OwnedTarget } from './ownedTarget';
import { type Owner } from './owner';

/** What this host knows of the fleet: an immutable value, replaced as a whole with each change. */
export interface FleetView {
  readonly hostId: string;
  readonly record: FleetRecord;
  readonly sheet: Sheet;
  readonly operations: OperationIndex;
  /** Owners of usable targets by service, this host included. */
  readonly owners: ReadonlyMap<string, readonly Owner[]>;
  /** Targets that this host owns, by target id. */
  readonly owned: ReadonlyMap<string, OwnedTarget>;
}
