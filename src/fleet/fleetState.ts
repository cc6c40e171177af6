import { type Sheet } from '../sheet';

import { type FleetRecord } from './fleetRecord';
import { type Assignment, assignOwners } from './ownership';

/** A record with its sheet and the target owners derived from both. */
export interface FleetState {
  readonly record: FleetRecord;
  readonly sheet: Sheet;
  readonly assignment: Assignment;
}

/** Derives the owners of a record, recomputing only the zones that changed since `previous`. */
export function makeFleetState(
  record: FleetRecord,
  sheet: Sheet,
  previous: FleetState | null,
): FleetState {
  if (sheet.fingerprint !== record.sheetFingerprint) {
    throw new Error(`epoch ${record.epoch} refers to a sheet other than ${sheet.fingerprint}`);
  }
  const assignment = assignOwners(sheet, record.members, previous?.assignment ?? null);
  return Object.freeze({ record, sheet, assignment });
}
