export { PlatformStandin, type PlatformMode } from './platform/platformStandin';
export { TargetStandin, type RunRecord } from './target/targetStandin';
export {
  sheetText,
  type SheetParts,
  type SheetHost,
  type SheetService,
  type SheetTarget,
} from './sheetText';
export { freePort } from './freePort';
