import { type SectionName, type SectionRow } from './schema';

/** A row that was validated against the schema of its section. */
export type CheckedRow = {
  [Name in SectionName]: {
    readonly section: Name;
    readonly row: number;
    readonly value: SectionRow<Name>;
  };
}[SectionName];

/** Returns the rows of one section. */
export function rowsOf<Name extends SectionName>(
  rows: readonly CheckedRow[],
  section: Name,
): readonly Extract<CheckedRow, { section: Name }>[] {
  return rows.filter(
    (row): row is Extract<CheckedRow, { section: Name }> => row.section === section,
  );
}
