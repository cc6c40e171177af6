import { joinCanonical } from './canonicalRows';
import { type CheckedRow } from './checkedRow';
import { SECTION_NAMES, SECTION_SCHEMAS, type SectionName } from './schema';

function writeCell(value: unknown): string {
  if (value === true) return 'yes';
  if (value === false) return 'no';
  const text = String(value);
  return /[",\n]/.test(text) ? `"${text.replaceAll('"', '""')}"` : text;
}

/** Writes rows in the canonical form: sections in order, columns of the schema, rows sorted. */
export function writeSheet(rows: readonly CheckedRow[]): string {
  const written = SECTION_NAMES.map((section): [SectionName, string[]] => {
    const columns = Object.keys(SECTION_SCHEMAS[section].shape);
    const lines = rows
      .filter((row) => row.section === section)
      .map(({ value }) => {
        const cells: Readonly<Record<string, unknown>> = value;
        return columns.map((column) => writeCell(cells[column])).join(',');
      });
    return [section, lines];
  });
  return joinCanonical(new Map(written));
}
