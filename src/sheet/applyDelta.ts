import { Err, Ok, type Result } from 'ts-results';

import { joinCanonical, splitCanonical } from './canonicalRows';
import { parseSheet } from './parseSheet';
import { type Sheet } from './sheet';
import { type SheetDelta } from './sheetDelta';
import { type SheetError } from './sheetError';

function sheetError(section: string, message: string): SheetError {
  return { row: 0, section, field: '', message };
}

/** Applies a delta to its base; the result must have the fingerprint that the delta states. */
export function applyDelta(base: Sheet, delta: SheetDelta): Result<Sheet, readonly SheetError[]> {
  if (base.fingerprint !== delta.baseFingerprint) {
    return Err([sheetError('', 'the delta belongs to another base')]);
  }
  const rows = new Map(splitCanonical(base.text));
  for (const { section, removed, added } of delta.sections) {
    const removedRows = new Set(removed);
    const remainingRows = (rows.get(section) ?? []).filter((row) => !removedRows.has(row));
    rows.set(section, [...remainingRows, ...added]);
  }
  const sheet = parseSheet(joinCanonical(rows));
  if (sheet.err) return sheet;
  if (sheet.val.fingerprint !== delta.wantedFingerprint) {
    return Err([sheetError('', 'the delta does not give the stated fingerprint')]);
  }
  return Ok(sheet.val);
}
