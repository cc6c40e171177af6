import { type CatalogChanges } from './catalogChanges';
import { type CatalogRecord } from './catalogRecord';

// Between hosts a cold period is the time left, since their monotonic clocks differ.
function mapColdUntil(
  changes: CatalogChanges,
  convert: (milliseconds: number) => number,
): CatalogChanges {
  const records = changes.records.map((record): CatalogRecord => {
    if (record.fact?.kind !== 'target') return record;
    const { target } = record.fact;
    const converted = { ...target, coldUntil: convert(target.coldUntil) };
    return { ...record, fact: { kind: 'target', target: converted } };
  });
  return { ...changes, records };
}

/** Text of changes as it is sent to another host at monotonic time `now`. */
export function encodeChanges(changes: CatalogChanges, now: number): string {
  return JSON.stringify(mapColdUntil(changes, (until) => Math.max(0, Math.round(until - now))));
}

/** Reads the text of another host of the same protocol version; throws when it is not JSON. */
export function decodeChanges(text: string, now: number): CatalogChanges {
  return mapColdUntil(JSON.parse(text) as CatalogChanges, (left) => (left > 0 ? now + left : 0));
}
