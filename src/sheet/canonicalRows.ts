import { SECTION_NAMES, SECTION_SCHEMAS, type SectionName } from './schema';

/** Rows in canonical form, by section. */
export type CanonicalRows = ReadonlyMap<SectionName, readonly string[]>;

/** Splits a canonical text; cells contain no line breaks, so each line is a title or a row. */
export function splitCanonical(text: string): CanonicalRows {
  const lines = text.trimEnd().split('\n');
  const starts = SECTION_NAMES.map((section) => lines.indexOf(`[${section}]`));
  return new Map(
    SECTION_NAMES.map((section, index) => [
      section,
      lines.slice(starts[index]! + 2, starts[index + 1] ?? lines.length),
    ]),
  );
}

/** Joins rows to the canonical text: sections and columns in schema order, rows sorted. */
export function joinCanonical(rows: CanonicalRows): string {
  const lines = SECTION_NAMES.flatMap((section) => {
    const columns = Object.keys(SECTION_SCHEMAS[section].shape);
    return [`[${section}]`, columns.join(','), ...[...(rows.get(section) ?? [])].sort()];
  });
  return `${lines.join('\n')}\n`;
}
