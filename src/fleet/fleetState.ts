import { type Sheet } from '../sheet';

import { type FleetRecord } from './fleetRecord';
import { assignOwners } from './ownership';

/** A record with its sheet and the owners that follow from both. */
export interface FleetState {
  readonly record: FleetRecord;
  readonly sheet: Sheet;
  /** Owner by target id. */
  readonly assignment: ReadonlyMap<string, string>;
}

/** Derives the owners of a record. */
export function makeFleetState(record: FleetRecord, sheet: Sheet): FleetState {
  if (sheet.fingerprint !== record.sheetFingerprint) {
    throw new Error(`epoch ${record.epoch} names another sheet than ${sheet.fingerprint}`);
  }
  return Object.freeze({ record, sheet, assignment: assignOwners(sheet, record.members) });
}
