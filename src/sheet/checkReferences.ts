import { type RawRow } from './rawRow';
import { type SectionName } from './schema';
import { type SheetError } from './sheetError';

// Sets of columns whose combined values must be unique in a section.
const UNIQUE_KEYS: Readonly<Record<SectionName, readonly (readonly string[])[]>> = {
  sheet: [],
  zones: [['zone']],
  hosts: [['host'], ['address', 'peer_port']],
  services: [['service']],
  targets: [['target'], ['address', 'port']],
  operations: [['service', 'method', 'path_prefix']],
  priorities: [['class']],
};

// Columns that refer to a row of another section by its name.
const REFERENCES: Readonly<Record<SectionName, Readonly<Record<string, SectionName>>>> = {
  sheet: {},
  zones: {},
  hosts: { zone: 'zones' },
  services: { class: 'priorities' },
  targets: { service: 'services', zone: 'zones' },
  operations: { service: 'services', class: 'priorities' },
  priorities: {},
};

const REQUIRED_SECTIONS: readonly SectionName[] = [
  'zones',
  'hosts',
  'services',
  'targets',
  'priorities',
];

/** Joined cells of the given columns; null when one of them is empty or missing. */
function keyOf(row: RawRow, columns: readonly string[]): string | null {
  const cells = columns.map((column) => row.cells[column] ?? '');
  return cells.includes('') ? null : cells.join(' ');
}

function findDuplicates(rows: readonly RawRow[]): SheetError[] {
  const errors: SheetError[] = [];
  const seen = new Map<string, number>();
  for (const row of rows) {
    for (const columns of UNIQUE_KEYS[row.section]) {
      const key = keyOf(row, columns);
      if (key === null) continue;
      const uniqueKey = `${row.section}|${columns.join()}|${key}`;
      const earlierRow = seen.get(uniqueKey);
      if (earlierRow === undefined) seen.set(uniqueKey, row.row);
      else {
        const message = `'${key}' stands already in row ${earlierRow}`;
        errors.push({ row: row.row, section: row.section, field: columns.join('+'), message });
      }
    }
  }
  return errors;
}

function namesBySection(rows: readonly RawRow[]): ReadonlyMap<SectionName, ReadonlySet<string>> {
  const names = new Map<SectionName, Set<string>>();
  for (const row of rows) {
    const columns = UNIQUE_KEYS[row.section][0];
    const name = columns === undefined ? null : keyOf(row, columns);
    const group = names.get(row.section) ?? new Set<string>();
    names.set(row.section, name === null ? group : group.add(name));
  }
  return names;
}

function findUnknownReferences(rows: readonly RawRow[]): SheetError[] {
  const names = namesBySection(rows);
  const errors: SheetError[] = [];
  for (const row of rows) {
    for (const [field, section] of Object.entries(REFERENCES[row.section])) {
      const name = keyOf(row, [field]);
      const known = names.get(section);
      // An empty or missing section is reported once, not for each row that refers to it.
      if (name === null || known === undefined || known.has(name)) continue;
      const message = `'${name}' is not in section [${section}]`;
      errors.push({ row: row.row, section: row.section, field, message });
    }
  }
  return errors;
}

function findEmptySections(rows: readonly RawRow[]): SheetError[] {
  const sectionError = (section: SectionName, message: string): SheetError => ({
    row: 0,
    section,
    field: '',
    message,
  });
  const errors = REQUIRED_SECTIONS.filter(
    (section) => !rows.some((row) => row.section === section),
  ).map((section) => sectionError(section, 'section has no rows'));
  const headers = rows.filter((row) => row.section === 'sheet').length;
  if (headers === 1) return errors;
  return [...errors, sectionError('sheet', `has ${headers} rows; one is needed`)];
}

/** Checks constraints across rows: duplicates, references and empty sections. */
export function checkReferences(rows: readonly RawRow[]): SheetError[] {
  return [...findDuplicates(rows), ...findUnknownReferences(rows), ...findEmptySections(rows)];
}
