import { splitCanonical } from './canonicalRows';
import { SECTION_NAMES } from './schema';
import { type Sheet } from './sheet';
import { type SheetDelta } from './sheetDelta';

function without(rows: readonly string[], others: readonly string[]): readonly string[] {
  const known = new Set(others);
  return rows.filter((row) => !known.has(row));
}

/** The rows to remove from and to add to `base` to get `wanted`. */
export function diffSheets(base: Sheet, wanted: Sheet): SheetDelta {
  const before = splitCanonical(base.text);
  const after = splitCanonical(wanted.text);
  const sections = SECTION_NAMES.map((section) => {
    const old = before.get(section) ?? [];
    const current = after.get(section) ?? [];
    return { section, removed: without(old, current), added: without(current, old) };
  });
  return {
    baseFingerprint: base.fingerprint,
    wantedFingerprint: wanted.fingerprint,
    sections: sections.filter(({ removed, added }) => removed.length + added.length > 0),
  };
}
