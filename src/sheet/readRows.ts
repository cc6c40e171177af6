import { parse } from 'csv-parse/sync';
import { Err, Ok, type Result } from 'ts-results';

import { checkColumns } from './checkColumns';
import { type RawRow } from './rawRow';
import { SECTION_NAMES, type SectionName } from './schema';
import { type SheetError } from './sheetError';

interface CsvLine {
  readonly record: readonly string[];
  readonly info: { readonly lines: number };
}

/** Rows as far as they could be read, and all mistakes of structure. */
export interface RawSheet {
  readonly rows: readonly RawRow[];
  readonly errors: readonly SheetError[];
}

interface Reading {
  readonly rows: RawRow[];
  readonly errors: SheetError[];
  section: SectionName | null;
  columns: readonly string[] | null;
  readonly seen: Set<SectionName>;
}

function parseCsv(text: string): Result<readonly CsvLine[], SheetError> {
  try {
    const lines = parse(text, {
      bom: true,
      comment: '#',
      comment_no_infix: true,
      info: true,
      relax_column_count: true,
      skip_empty_lines: true,
      trim: true,
    }) as unknown as CsvLine[];
    return Ok(lines);
  } catch (error) {
    const { message, lines } = error as Error & { lines?: number };
    return Err({ row: lines ?? 0, section: '', field: '', message: `not a CSV file: ${message}` });
  }
}

function startSection(reading: Reading, title: string, row: number): void {
  const name = title.slice(1, -1);
  reading.columns = null;
  reading.section = null;
  const known = SECTION_NAMES.find((section) => section === name);
  if (known === undefined) {
    const message = `unknown section; known are ${SECTION_NAMES.join(', ')}`;
    reading.errors.push({ row, section: name, field: '', message });
    return;
  }
  if (reading.seen.has(known)) {
    reading.errors.push({ row, section: known, field: '', message: 'section appears twice' });
  }
  reading.seen.add(known);
  reading.section = known;
}

function readRow(reading: Reading, cells: readonly string[], row: number): void {
  if (reading.section === null) return;
  if (reading.columns === null) {
    // Spreadsheets pad short rows with empty cells up to the widest section.
    const last = cells.findLastIndex((cell) => cell !== '');
    reading.columns = cells.slice(0, last + 1);
    reading.errors.push(...checkColumns(reading.section, reading.columns, row));
    return;
  }
  const { columns, section } = reading;
  const extra = cells.slice(columns.length).findIndex((cell) => cell !== '');
  if (extra !== -1) {
    const message = `has a value in column ${columns.length + extra + 1}, which has no name`;
    reading.errors.push({ row, section, field: '', message });
  }
  const entries = columns.map((column, index): [string, string] => [column, cells[index] ?? '']);
  reading.rows.push({ section, row, cells: Object.fromEntries(entries) });
}

function findMissingSections(seen: ReadonlySet<SectionName>): SheetError[] {
  return SECTION_NAMES.filter((section) => !seen.has(section)).map((section) => ({
    row: 0,
    section,
    field: '',
    message: 'section is missing',
  }));
}

/** Splits the CSV text into the rows of its sections; reports each mistake of structure. */
export function readRows(text: string): RawSheet {
  const lines = parseCsv(text);
  if (lines.err) return { rows: [], errors: [lines.val] };
  const reading: Reading = { rows: [], errors: [], section: null, columns: null, seen: new Set() };
  let untitled = 0;
  for (const { record, info } of lines.val) {
    const first = record[0] ?? '';
    if (record.every((cell) => cell === '')) continue;
    if (/^\[.*\]$/.test(first)) startSection(reading, first, info.lines);
    else if (reading.section !== null) readRow(reading, record, info.lines);
    else if (untitled === 0 && reading.errors.length === 0) untitled = info.lines;
  }
  if (untitled > 0) {
    const message = 'row stands before the first [section]';
    reading.errors.push({ row: untitled, section: '', field: '', message });
  }
  return {
    rows: reading.rows,
    errors: [...reading.errors, ...findMissingSections(reading.seen)],
  };
}
