export { type Sheet } from './sheet';
export {
  type Host,
  type Operation,
  type Priority,
  type SectionName,
  type SectionRow,
  type Service,
  type Target,
  type Zone,
  SECTION_NAMES,
  SECTION_SCHEMAS,
} from './schema';
export { parseSheet, LARGEST_SHEET_BYTES } from './parseSheet';
export { type SheetError, formatSheetError } from './sheetError';
export { OperationIndex, type OperationTraits } from './operationIndex';
