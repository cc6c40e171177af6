import { type Sheet } from '../sheet';

import { type FleetRecord } from './fleetRecord';
import { type Assignment, assignOwners } from './ownership';

/** A record with its sheet and the owners that follow from both. */
export interface FleetState {
  readonly record: FleetRecord;
  readonly sheet: Sheet;
  readonly assignment: Assignment;
}

/** Derives the owners of a record, at a cost that follows what changed since `previous`. */
export function makeFleetState(
  record: FleetRecord,
  sheet: Sheet,
  previous: FleetState | null,
): FleetState {
  if (sheet.fingerprint !== record.sheetFingerprint) {
    throw new Error(`epoch ${record.epoch} names another sheet than ${sheet.fingerprint}`);
  }
  const assignment = assignOwners(sheet, record.members, previous?.assignment ?? null);
  return Object.freeze({ record, sheet, assignment });
}
