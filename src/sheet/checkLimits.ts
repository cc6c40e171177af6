import { type RawRow } from './rawRow';
import { type SheetError } from './sheetError';

// Some slots must remain for classes without a reservation.
const MAX_RESERVED_PERCENT = 90;

/** Number in a cell; NaN, which fails all comparisons, when it is missing or not a number. */
function numberIn(row: RawRow, column: string): number {
  const cell = row.cells[column] ?? '';
  return cell === '' ? Number.NaN : Number(cell);
}

function checkTarget(raw: RawRow): SheetError[] {
  const { row, section } = raw;
  const slots = numberIn(raw, 'slots');
  const coldLimit = numberIn(raw, 'cold_limit');
  const connections = numberIn(raw, 'connections');
  const errors: SheetError[] = [];
  if (coldLimit > slots) {
    const message = `${coldLimit} is above the ${slots} slots`;
    errors.push({ row, section, field: 'cold_limit', message });
  }
  if (connections < slots) {
    const message = `${connections} connections are fewer than the ${slots} slots`;
    errors.push({ row, section, field: 'connections', message });
  }
  return errors;
}

/** Checks limits that span several fields or rows; cells that are not numbers are skipped. */
export function checkLimits(rows: readonly RawRow[]): SheetError[] {
  const errors = rows.filter(({ section }) => section === 'targets').flatMap(checkTarget);
  const reserved = rows
    .filter(({ section }) => section === 'priorities')
    .reduce((sum, row) => sum + (numberIn(row, 'reserved_percent') || 0), 0);
  if (reserved > MAX_RESERVED_PERCENT) {
    const message = `the classes reserve ${reserved} percent together; ${MAX_RESERVED_PERCENT} is the most`;
    errors.push({ row: 0, section: 'priorities', field: 'reserved_percent', message });
  }
  return errors;
}
