import { SECTION_SCHEMAS, type SectionName } from './schema';
import { type SheetError } from './sheetError';

/** Compares the line of column names of a section with its schema. */
export function checkColumns(
  section: SectionName,
  columns: readonly string[],
  row: number,
): SheetError[] {
  const known = Object.keys(SECTION_SCHEMAS[section].shape);
  const mistake = (field: string, message: string): SheetError => ({
    row,
    section,
    field,
    message,
  });
  const missing = known
    .filter((column) => !columns.includes(column))
    .map((column) => mistake(column, 'column is missing'));
  const others = columns.flatMap((column, index) => {
    if (columns.indexOf(column) !== index) return [mistake(column, 'column appears twice')];
    if (column === '') return [mistake('', `column ${index + 1} has no name`)];
    if (known.includes(column)) return [];
    return [mistake(column, `unknown column; known are ${known.join(', ')}`)];
  });
  return [...missing, ...others];
}
