import { splitCanonical } from './canonicalRows';
import { SECTION_NAMES } from './schema';
import { type Sheet } from './sheet';
import { type SheetDelta } from './sheetDelta';

function difference(rows: readonly string[], excluded: readonly string[]): readonly string[] {
  const excludedRows = new Set(excluded);
  return rows.filter((row) => !excludedRows.has(row));
}

/** Returns the rows to remove from and add to `base` to get `wanted`. */
export function diffSheets(base: Sheet, wanted: Sheet): SheetDelta {
  const before = splitCanonical(base.text);
  const after = splitCanonical(wanted.text);
  const sections = SECTION_NAMES.map((section) => {
    const old = before.get(section) ?? [];
    const current = after.get(section) ?? [];
    return { section, removed: difference(old, current), added: difference(current, old) };
  });
  return {
    baseFingerprint: base.fingerprint,
    wantedFingerprint: wanted.fingerprint,
    sections: sections.filter(({ removed, added }) => removed.length + added.length > 0),
  };
}
