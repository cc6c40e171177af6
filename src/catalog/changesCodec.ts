import { type CatalogChanges } from './catalogChanges';
import { type CatalogRecord } from './catalogRecord';

// Hosts send the remaining time of a cold period, as their monotonic clocks differ.
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

/** Encodes changes as JSON to be sent to another host at monotonic time `now`. */
export function encodeChanges(changes: CatalogChanges, now: number): string {
  return JSON.stringify(
    mapColdUntil(changes, (coldUntil) => Math.max(0, Math.round(coldUntil - now))),
  );
}

/** Decodes changes from a host of the same protocol version; throws when the text is not JSON. */
export function decodeChanges(text: string, now: number): CatalogChanges {
  return mapColdUntil(JSON.parse(text) as CatalogChanges, (left) => (left > 0 ? now + left : 0));
}
