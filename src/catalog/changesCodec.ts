import { type CatalogChanges } from './catalogChanges';
import { type CatalogRecord } from './catalogRecord';
import { changesSchema } from './changesSchema';

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

// The host that read a value has logged the remarks about it.
function withoutRemarks({ key, revision, fact }: CatalogRecord): CatalogRecord {
  return { key, revision, fact };
}

/** Encodes changes as JSON to be sent to another host at monotonic time `now`. */
export function encodeChanges(changes: CatalogChanges, now: number): string {
  const toSend = mapColdUntil(changes, (coldUntil) => Math.max(0, Math.round(coldUntil - now)));
  return JSON.stringify({ ...toSend, records: toSend.records.map(withoutRemarks) });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    // Rejected by the schema, like any other text that is not a set of changes.
    return undefined;
  }
}

/** Reads changes that another host sent as JSON; null when they are not valid. */
export function readChanges(body: unknown, now: number): CatalogChanges | null {
  const parsed = changesSchema.safeParse(body);
  if (!parsed.success) return null;
  return mapColdUntil(parsed.data, (left) => (left > 0 ? now + left : 0));
}

/** Decodes the text of changes that another host sent; null when they are not valid. */
export function decodeChanges(text: string, now: number): CatalogChanges | null {
  return readChanges(parseJson(text), now);
}
