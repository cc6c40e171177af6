import { Err, Ok, type Result } from 'ts-results';

import { buildSheet } from './buildSheet';
import { checkReferences } from './checkReferences';
import { type CheckedRow } from './checkedRow';
import { type RawRow } from './rawRow';
import { readRows } from './readRows';
import { SECTION_SCHEMAS } from './schema';
import { type Sheet } from './sheet';
import { type SheetError } from './sheetError';

/** Largest sheet in bytes; the configuration service holds values of up to a megabyte. */
export const LARGEST_SHEET_BYTES = 1024 * 1024;

function checkRow(raw: RawRow): Result<CheckedRow, readonly SheetError[]> {
  const checked = SECTION_SCHEMAS[raw.section].safeParse(raw.cells);
  if (checked.success) {
    return Ok({ section: raw.section, row: raw.row, value: checked.data } as CheckedRow);
  }
  const errors = checked.error.issues.map((issue) => ({
    row: raw.row,
    section: raw.section,
    field: issue.path.join('.'),
    message: issue.message,
  }));
  return Err(errors);
}

/** Reads a sheet and reports all mistakes at once, by row and field. */
export function parseSheet(text: string): Result<Sheet, readonly SheetError[]> {
  const size = Buffer.byteLength(text);
  if (size > LARGEST_SHEET_BYTES) {
    const message = `sheet has ${size} bytes; the largest is ${LARGEST_SHEET_BYTES}`;
    return Err([{ row: 0, section: '', field: '', message }]);
  }
  const raw = readRows(text);
  if (raw.err) return raw;
  const rows: CheckedRow[] = [];
  const errors: SheetError[] = [];
  for (const row of raw.val) {
    const checked = checkRow(row);
    if (checked.ok) rows.push(checked.val);
    else errors.push(...checked.val);
  }
  errors.push(...checkReferences(rows, errors.length > 0));
  return errors.length > 0 ? Err(errors) : Ok(buildSheet(rows));
}
