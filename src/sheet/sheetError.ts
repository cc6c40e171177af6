/** An error in a sheet. */
export interface SheetError {
  /** Line number in the file, starting at 1; 0 when the error concerns the whole file. */
  readonly row: number;
  /** Section of the error; empty outside of any section. */
  readonly section: string;
  /** Column of the error; empty when it concerns the whole row. */
  readonly field: string;
  readonly message: string;
}

/** Formats an error as one line with row, section, field and message. */
export function formatSheetError(error: SheetError): string {
  const location = [error.section, error.field].filter((part) => part !== '').join('.');
  return `row ${error.row}${location === '' ? '' : `, ${location}`}: ${error.message}`;
}
