import { type FleetRecord } from './fleetRecord';

function isSorted(values: readonly string[]): boolean {
  return values.every((value, index) => index === 0 || values[index - 1]! < value);
}

/** Checks the invariants of a record and freezes it. */
export function makeRecord(fields: FleetRecord): FleetRecord {
  if (!Number.isSafeInteger(fields.epoch) || fields.epoch < 1) {
    throw new RangeError(`epoch ${fields.epoch} is not a positive integer`);
  }
  if (!isSorted(fields.members) || !isSorted(fields.zonesOut)) {
    throw new RangeError(`members or zones of epoch ${fields.epoch} are not sorted and unique`);
  }
  return Object.freeze({
    ...fields,
    ballot: Object.freeze({ ...fields.ballot }),
    members: Object.freeze([...fields.members]),
    zonesOut: Object.freeze([...fields.zonesOut]),
  });
}

/** True when two records of one epoch are equal, ignoring their ballots. */
export function sameContent(left: FleetRecord, right: FleetRecord): boolean {
  const content = ({ ballot, ...rest }: FleetRecord) => JSON.stringify(Object.entries(rest).sort());
  return content(left) === content(right);
}
