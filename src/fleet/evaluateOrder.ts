import { match } from 'ts-pattern';

import { type Sheet } from '../sheet';

import { type FleetRecord } from './fleetRecord';
import { type Order, type Rejection } from './order';
import { type RecordHistory } from './recordHistory';

/** Fields of the record that a change may replace. */
export type RecordChange = Partial<
  Pick<FleetRecord, 'sheetVersion' | 'sheetFingerprint' | 'zonesOut' | 'members'>
>;

/** Outcome of comparing an order with the committed record. */
export type OrderDecision =
  | { readonly kind: 'change'; readonly change: RecordChange; readonly reason: string }
  | { readonly kind: 'unchanged' }
  | { readonly kind: 'rejected'; readonly rejection: Rejection };

/** The state against which an order is evaluated. */
export interface OrderBasis {
  /** The committed record. */
  readonly record: FleetRecord;
  readonly sheet: Sheet;
  readonly history: RecordHistory;
  /**
   * Epoch that the order is based on: the one that it names, otherwise the epoch committed when it
   * was first evaluated. An order may be evaluated again after a concurrent change, so conflicts of
   * zone orders are found by replaying the record history since this epoch.
   */
  readonly basisEpoch: number;
}

const UNCHANGED: OrderDecision = { kind: 'unchanged' };

function rejected(kind: Rejection['kind'], detail: string): OrderDecision {
  return { kind: 'rejected', rejection: { kind, detail } };
}

/**
 * Replays the records since the basis epoch and describes the first change that moved the zone away
 * from the state that the order requests; null if there is none. A basis epoch that the history no
 * longer contains counts as a conflict.
 */
function findOpposingChange(basis: OrderBasis, zone: string, shouldBeOut: boolean): string | null {
  const basisRecord = basis.history.atEpoch(basis.basisEpoch);
  if (basisRecord === undefined) return 'an order on a state that is no longer known';
  let wasOut = basisRecord.zonesOut.includes(zone);
  for (const record of basis.history.afterEpoch(basis.basisEpoch)) {
    const isOut = record.zonesOut.includes(zone);
    if (isOut !== wasOut && isOut !== shouldBeOut) return `order ${record.orderId}`;
    wasOut = isOut;
  }
  return null;
}

function evaluateZone(
  basis: OrderBasis,
  zone: string,
  out: boolean,
  force: boolean,
): OrderDecision {
  const { record, sheet } = basis;
  if (!sheet.zones.has(zone)) return rejected('invalid', `the sheet lists no zone ${zone}`);
  const opposing = findOpposingChange(basis, zone, out);
  if (opposing !== null) return rejected('conflict', `not accepted: ${opposing} came first`);
  if (record.zonesOut.includes(zone) === out) return UNCHANGED;
  const zonesOut = out
    ? [...record.zonesOut, zone].sort()
    : record.zonesOut.filter((zoneOut) => zoneOut !== zone);
  const { region } = sheet.zones.get(zone)!;
  const remainingZones = [...sheet.zones.values()].filter(
    (sheetZone) => sheetZone.region === region && !zonesOut.includes(sheetZone.zone),
  );
  if (remainingZones.length === 0 && !force) {
    return rejected('last-zone', `${zone} is the last availability zone in service`);
  }
  return { kind: 'change', change: { zonesOut }, reason: `${zone} ${out ? 'out' : 'back'}` };
}

function evaluateSheet({ record }: OrderBasis, sheet: Sheet): OrderDecision {
  if (sheet.fingerprint === record.sheetFingerprint) return UNCHANGED;
  if (sheet.version <= record.sheetVersion) {
    return rejected(
      'conflict',
      `not accepted: sheet version ${record.sheetVersion} of order ${record.orderId} is in force`,
    );
  }
  const change = {
    sheetVersion: sheet.version,
    sheetFingerprint: sheet.fingerprint,
    zonesOut: record.zonesOut.filter((zone) => sheet.zones.has(zone)),
    members: record.members.filter((member) => sheet.hosts.has(member)),
  };
  return { kind: 'change', change, reason: `sheet version ${sheet.version}` };
}

/** Compares an order with the committed record. */
export function evaluateOrder(order: Order, basis: OrderBasis): OrderDecision {
  return match(order)
    .with({ kind: 'zone-out' }, ({ zone, force }) => evaluateZone(basis, zone, true, force))
    .with({ kind: 'zone-back' }, ({ zone }) => evaluateZone(basis, zone, false, false))
    .with({ kind: 'load-sheet' }, ({ sheet }) => evaluateSheet(basis, sheet))
    .exhaustive();
}
