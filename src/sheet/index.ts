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
export { parseSheet, MAX_SHEET_BYTES } from './parseSheet';
export { type SheetError, formatSheetError } from './sheetError';
export { type SheetDelta, type SectionDelta } from './sheetDelta';
export { diffSheets } from './diffSheets';
export { applyDelta } from './applyDelta';
export { OperationIndex, type OperationTraits } from './operationIndex';
