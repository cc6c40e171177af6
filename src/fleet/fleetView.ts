import { type OperationIndex, type Sheet } from '../sheet';

import { type FleetRecord } from './fleetRecord';
import { type OwnedTarget } from './ownedTarget';
import { type Owner } from './owner';

/** Immutable snapshot of the fleet as this host sees it, replaced on each change. */
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
