import { parse } from 'csv-parse/sync';
import { Err, Ok, type Result } from 'ts-results';

import { type RawRow } from './rawRow';
import { SECTION_NAMES, type SectionName } from './schema';
import { type SheetError } from './sheetError';

interface CsvLine {
  readonly record: readonly string[];
  readonly info: { readonly lines: number };
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
    reading.columns = cells.filter((cell) => cell !== '');
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

/** Splits the CSV text into the rows of its sections; reports each mistake of structure. */
export function readRows(text: string): Result<readonly RawRow[], readonly SheetError[]> {
  const lines = parseCsv(text);
  if (lines.err) return Err([lines.val]);
  const reading: Reading = { rows: [], errors: [], section: null, columns: null, seen: new Set() };
  for (const { record, info } of lines.val) {
    const first = record[0] ?? '';
    if (record.every((cell) => cell === '') || first.startsWith('#')) continue;
    if (/^\[.*\]$/.test(first)) startSection(reading, first, info.lines);
    else if (reading.section === null && reading.seen.size === 0 && reading.errors.length === 0) {
      reading.errors.push({
        row: info.lines,
        section: '',
        field: '',
        message: 'row stands before the first [section]',
      });
    } else readRow(reading, record, info.lines);
  }
  for (const section of SECTION_NAMES) {
    if (!reading.seen.has(section)) {
      reading.errors.push({ row: 0, section, field: '', message: 'section is missing' });
    }
  }
  return reading.errors.length > 0 ? Err(reading.errors) : Ok(reading.rows);
}
