import { SECTION_SCHEMAS, type SectionName } from './schema';
import { type SheetError } from './sheetError';

/** Checks the header row of a section against its schema. */
export function checkColumns(
  section: SectionName,
  columns: readonly string[],
  row: number,
): SheetError[] {
  const known = Object.keys(SECTION_SCHEMAS[section].shape);
  const sheetError = (field: string, message: string): SheetError => ({
    row,
    section,
    field,
    message,
  });
  const missing = known
    .filter((column) => !columns.includes(column))
    .map((column) => sheetError(column, 'column is missing'));
  const invalid = columns.flatMap((column, index) => {
    if (columns.indexOf(column) !== index) return [sheetError(column, 'column appears twice')];
    if (column === '') return [sheetError('', `column ${index + 1} has no name`)];
    if (known.includes(column)) return [];
    return [sheetError(column, `unknown column; known are ${known.join(', ')}`)];
  });
  return [...missing, ...invalid];
}
