import { type CheckedRow, rowsOf } from './checkedRow';
import { type SectionName } from './schema';
import { type SheetError } from './sheetError';

// Columns that together may appear only once in a section.
const UNIQUE_KEYS: Readonly<Record<SectionName, readonly (readonly string[])[]>> = {
  sheet: [],
  zones: [['zone']],
  hosts: [['host'], ['address', 'peer_port']],
  services: [['service']],
  targets: [['target'], ['address', 'port']],
  operations: [['service', 'method', 'path_prefix']],
  priorities: [['class']],
};

// Columns that name a row of another section.
const REFERENCES: Readonly<Record<SectionName, Readonly<Record<string, SectionName>>>> = {
  sheet: {},
  zones: {},
  hosts: { zone: 'zones' },
  services: { class: 'priorities' },
  targets: { service: 'services', zone: 'zones' },
  operations: { service: 'services', class: 'priorities' },
  priorities: {},
};

type Cells = Readonly<Record<string, unknown>>;

function keyOf(row: CheckedRow, columns: readonly string[]): string {
  const cells: Cells = row.value;
  return columns.map((column) => String(cells[column])).join(' ');
}

function findDuplicates(rows: readonly CheckedRow[]): SheetError[] {
  const errors: SheetError[] = [];
  const seen = new Map<string, number>();
  for (const row of rows) {
    for (const columns of UNIQUE_KEYS[row.section]) {
      const key = keyOf(row, columns);
      const place = `${row.section}|${columns.join()}|${key}`;
      const earlier = seen.get(place);
      if (earlier === undefined) seen.set(place, row.row);
      else {
        const message = `'${key}' stands already in row ${earlier}`;
        errors.push({ row: row.row, section: row.section, field: columns.join('+'), message });
      }
    }
  }
  return errors;
}

function findUnknownReferences(rows: readonly CheckedRow[]): SheetError[] {
  const known = new Map<SectionName, Set<string>>();
  for (const row of rows) {
    const firstKey = UNIQUE_KEYS[row.section][0];
    if (firstKey === undefined) continue;
    const names = known.get(row.section) ?? new Set<string>();
    known.set(row.section, names.add(keyOf(row, firstKey)));
  }
  const errors: SheetError[] = [];
  for (const row of rows) {
    for (const [field, section] of Object.entries(REFERENCES[row.section])) {
      const name = keyOf(row, [field]);
      if (known.get(section)?.has(name)) continue;
      const message = `'${name}' is not in section [${section}]`;
      errors.push({ row: row.row, section: row.section, field, message });
    }
  }
  return errors;
}

function findLimitMistakes(rows: readonly CheckedRow[]): SheetError[] {
  const errors: SheetError[] = [];
  for (const { row, value } of rowsOf(rows, 'targets')) {
    if (value.cold_limit > value.slots) {
      const message = `${value.cold_limit} is above the ${value.slots} slots`;
      errors.push({ row, section: 'targets', field: 'cold_limit', message });
    }
    if (value.connections < value.slots) {
      const message = `${value.connections} connections are fewer than the ${value.slots} slots`;
      errors.push({ row, section: 'targets', field: 'connections', message });
    }
  }
  const reserved = rowsOf(rows, 'priorities').reduce(
    (sum, { value }) => sum + value.reserved_percent,
    0,
  );
  if (reserved > 90) {
    const message = `the classes reserve ${reserved} percent together; 90 is the most`;
    errors.push({ row: 0, section: 'priorities', field: 'reserved_percent', message });
  }
  return errors;
}

function findEmptySections(rows: readonly CheckedRow[]): SheetError[] {
  const errors: SheetError[] = [];
  const needed: readonly SectionName[] = ['zones', 'hosts', 'services', 'targets', 'priorities'];
  for (const section of needed) {
    if (rows.some((row) => row.section === section)) continue;
    errors.push({ row: 0, section, field: '', message: 'section has no rows' });
  }
  const headers = rowsOf(rows, 'sheet').length;
  if (headers !== 1) {
    errors.push({
      row: 0,
      section: 'sheet',
      field: '',
      message: `has ${headers} rows; one is needed`,
    });
  }
  return errors;
}

/**
 * Checks what concerns several rows: duplicates, references, limits and empty sections.
 * With `rowsMissing`, some rows were dropped as invalid, and what follows from that is not reported.
 */
export function checkReferences(rows: readonly CheckedRow[], rowsMissing: boolean): SheetError[] {
  const errors = [...findDuplicates(rows), ...findLimitMistakes(rows)];
  if (rowsMissing) return errors;
  return [...errors, ...findUnknownReferences(rows), ...findEmptySections(rows)];
}
