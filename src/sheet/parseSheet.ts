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

/** Maximum size of a sheet; the configuration service stores values of up to 1 MB. */
export const MAX_SHEET_BYTES = 1024 * 1024;

// Decoders replace bytes that are not UTF-8 by U+FFFD; a sheet contains neither that nor NUL.
const INVALID_CHARACTERS = ['\0', '\ufffd'];

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
  if (Buffer.byteLength(text) > MAX_SHEET_BYTES) {
    const message = `sheet is above the largest size of ${MAX_SHEET_BYTES} bytes`;
    return [{ row: 0, section: '', field: '', message }];
  }
  const positions = INVALID_CHARACTERS.map((character) => text.indexOf(character)).filter(
    (position) => position !== -1,
  );
  if (positions.length === 0) return [];
  const position = Math.min(...positions);
  const row = text.slice(0, position).split('\n').length;
  return [{ row, section: '', field: '', message: 'is not UTF-8 text' }];
}

/** Parses and validates a sheet; reports all errors at once, by row and field. */
export function parseSheet(text: string): Result<Sheet, readonly SheetError[]> {
  const textErrors = checkText(text);
  if (textErrors.length > 0) return Err(textErrors);
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
