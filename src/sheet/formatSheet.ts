import { joinCanonical } from './canonicalRows';
import { type CheckedRow } from './checkedRow';
import { SECTION_NAMES, SECTION_SCHEMAS, type SectionName } from './schema';

function formatCell(value: unknown): string {
  if (value === true) return 'yes';
  if (value === false) return 'no';
  const text = String(value);
  return /[",\n]/.test(text) ? `"${text.replaceAll('"', '""')}"` : text;
}

/** Formats rows as canonical text: sections and columns in schema order, rows sorted. */
export function formatSheet(rows: readonly CheckedRow[]): string {
  const written = SECTION_NAMES.map((section): [SectionName, string[]] => {
    const columns = Object.keys(SECTION_SCHEMAS[section].shape);
    const lines = rows
      .filter((row) => row.section === section)
      .map(({ value }) => {
        const cells: Readonly<Record<string, unknown>> = value;
        return columns.map((column) => formatCell(cells[column])).join(',');
      });
    return [section, lines];
  });
  return joinCanonical(new Map(written));
}
