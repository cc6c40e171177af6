import { parse } from 'csv-parse/sync';
import { Err, Ok, type Result } from 'ts-results';

import { checkColumns } from './checkColumns';
import { type RawRow } from './rawRow';
import { SECTION_NAMES, type SectionName } from './schema';
import { type SectionText, splitSections } from './sectionText';
import { type SheetError } from './sheetError';

interface CsvLine {
  readonly record: readonly string[];
  readonly info: { readonly lines: number };
}

/** Rows that could be read, and all structural errors. */
export interface RawSheet {
  readonly rows: readonly RawRow[];
  readonly errors: readonly SheetError[];
}

function sheetError(row: number, section: string, message: string): SheetError {
  return { row, section, field: '', message };
}

function parseCsv(section: SectionText): Result<readonly CsvLine[], SheetError> {
  try {
    const lines = parse(section.text, {
      comment: '#',
      comment_no_infix: true,
      info: true,
      relax_column_count: true,
      skip_empty_lines: true,
      trim: true,
    }) as unknown as CsvLine[];
    return Ok(lines.filter(({ record }) => record.some((cell) => cell !== '')));
  } catch (error) {
    const { message, lines = 0 } = error as Error & { lines?: number };
    return Err(sheetError(section.row + lines, section.name ?? '', `not a CSV file: ${message}`));
  }
}

/** Reads the columns and rows of a known section; `start` is the line of its title. */
function readSection(section: SectionName, start: number, lines: readonly CsvLine[]): RawSheet {
  const [header, ...others] = lines;
  if (header === undefined) return { rows: [], errors: [] };
  // Spreadsheets pad short rows with empty cells up to the widest section.
  const columns = header.record.slice(0, header.record.findLastIndex((cell) => cell !== '') + 1);
  const errors = checkColumns(section, columns, start + header.info.lines);
  const rows = others.map(({ record, info }) => {
    const row = start + info.lines;
    const extra = record.slice(columns.length).findIndex((cell) => cell !== '');
    if (extra !== -1) {
      const column = columns.length + extra + 1;
      errors.push(sheetError(row, section, `has a value in column ${column}, which has no name`));
    }
    const entries = columns.map((column, index) => [column, record[index] ?? '']);
    return { section, row, cells: Object.fromEntries(entries) as RawRow['cells'] };
  });
  return { rows, errors };
}

function readSectionText(sectionText: SectionText): RawSheet {
  const lines = parseCsv(sectionText);
  if (lines.err) return { rows: [], errors: [lines.val] };
  if (sectionText.name === null) {
    const first = lines.val[0];
    if (first === undefined) return { rows: [], errors: [] };
    const message = 'row stands before the first [section]';
    return { rows: [], errors: [sheetError(first.info.lines, '', message)] };
  }
  const section = SECTION_NAMES.find((known) => known === sectionText.name);
  if (section !== undefined) return readSection(section, sectionText.row, lines.val);
  const message = `unknown section; known are ${SECTION_NAMES.join(', ')}`;
  return { rows: [], errors: [sheetError(sectionText.row, sectionText.name, message)] };
}

function checkTitles(parts: readonly SectionText[]): SheetError[] {
  return SECTION_NAMES.flatMap((section) => {
    const [first, ...duplicates] = parts.filter(({ name }) => name === section);
    if (first === undefined) return [sheetError(0, section, 'section is missing')];
    return duplicates.map(({ row }) => sheetError(row, section, 'section appears twice'));
  });
}

/** Splits the CSV text into the rows of its sections and reports all structural errors. */
export function readRows(text: string): RawSheet {
  const parts = splitSections(text);
  const rawSheets = parts.map(readSectionText);
  return {
    rows: rawSheets.flatMap(({ rows }) => rows),
    errors: [...rawSheets.flatMap(({ errors }) => errors), ...checkTitles(parts)],
  };
}
