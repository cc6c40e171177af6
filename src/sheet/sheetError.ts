/** One mistake in a sheet. */
export interface SheetError {
  /** Line of the file, from 1; 0 when the mistake concerns the whole file. */
  readonly row: number;
  /** Section in which the mistake was found; empty outside of any section. */
  readonly section: string;
  /** Column in which the mistake was found; empty when it concerns the whole row. */
  readonly field: string;
  readonly message: string;
}

/** One line that names row, section, field and mistake. */
export function formatSheetError(error: SheetError): string {
  const place = [error.section, error.field].filter((part) => part !== '').join('.');
  return `row ${error.row}${place === '' ? '' : `, ${place}`}: ${error.message}`;
}
