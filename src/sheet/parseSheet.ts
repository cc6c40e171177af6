import { Err, Ok, type Result } from 'ts-results';

import { buildSheet } from './buildSheet';
import { checkLimits } from './checkLimits';
import { checkReferences } from './checkReferences';
import { type CheckedRow } from './checkedRow';
import { type RawRow } from './rawRow';
import { readRows } from './readRows';
import { SECTION_SCHEMAS } from './schema';
import { type Sheet } from './sheet';
import { type SheetError } from './sheetError';

/** Largest sheet in bytes; the configuration service holds values of up to a megabyte. */
export const LARGEST_SHEET_BYTES = 1024 * 1024;

// Decoders put U+FFFD where bytes are not UTF-8; neither it nor NUL belongs into a sheet.
const NOT_TEXT = ['\0', '\ufffd'];

function checkRow(raw: RawRow): Result<CheckedRow, readonly SheetError[]> {
  const checked = SECTION_SCHEMAS[raw.section].safeParse(raw.cells);
  if (checked.success) {
    return Ok({ section: raw.section, row: raw.row, value: checked.data } as CheckedRow);
  }
  // Missing and unknown columns are reported once for the section, not for each row.
  const issues = checked.error.issues.filter(
    (issue) => issue.path.length > 0 && raw.cells[String(issue.path[0])] !== undefined,
  );
  const messages = new Map<string, string>();
  for (const issue of issues) {
    const field = issue.path.join('.');
    const empty = raw.cells[field] === '';
    if (!messages.has(field)) messages.set(field, empty ? 'is empty' : issue.message);
  }
  return Err(
    [...messages].map(([field, message]) => ({
      row: raw.row,
      section: raw.section,
      field,
      message,
    })),
  );
}

function checkText(text: string): readonly SheetError[] {
  if (Buffer.byteLength(text) > LARGEST_SHEET_BYTES) {
    const message = `sheet is above the largest size of ${LARGEST_SHEET_BYTES} bytes`;
    return [{ row: 0, section: '', field: '', message }];
  }
  const places = NOT_TEXT.map((mark) => text.indexOf(mark)).filter((place) => place !== -1);
  if (places.length === 0) return [];
  const place = Math.min(...places);
  const row = text.slice(0, place).split('\n').length;
  return [{ row, section: '', field: '', message: 'is not UTF-8 text' }];
}

/** Reads a sheet and reports all mistakes at once, by row and field. */
export function parseSheet(text: string): Result<Sheet, readonly SheetError[]> {
  const unreadable = checkText(text);
  if (unreadable.length > 0) return Err(unreadable);
  const raw = readRows(text);
  const rows: CheckedRow[] = [];
  const errors: SheetError[] = [...raw.errors];
  for (const row of raw.rows) {
    const checked = checkRow(row);
    if (checked.ok) rows.push(checked.val);
    else errors.push(...checked.val);
  }
  errors.push(...checkReferences(raw.rows), ...checkLimits(raw.rows));
  if (errors.length > 0) return Err(errors.sort((left, right) => left.row - right.row));
  return Ok(buildSheet(rows));
}
