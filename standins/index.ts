export { PlatformStandin, type PlatformMode } from './platform/platformStandin';
export { TargetStandin } from './target/targetStandin';
export { targetSettingsSchema, type TargetSettings } from './target/targetSettings';
export { type RunRecord, type RunState } from './target/runRecord';
export { RunLog } from './target/runLog';
export { truthOf, type TargetTruth } from './target/targetTruth';
export { controlApp } from './target/controlApp';
export { MARK_HEADER, type Mark } from './target/marks';
export {
  sheetText,
  type SheetParts,
  type SheetHost,
  type SheetService,
  type SheetTarget,
} from './sheetText';
export { freePort } from './freePort';
export { gatewayFlags } from './gatewayFlags';
