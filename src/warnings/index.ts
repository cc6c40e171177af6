export { CONDITION_NAMES, type ConditionName } from './conditionName';
export { type Condition } from './condition';
export { CONDITIONS } from './conditions';
export { type OpenWarning } from './openWarning';
export { type Observation, type CrashingCall } from './observation';
export { WarningBoard, type WarningBoardParts } from './warningBoard';
export { WARNING_EVENTS } from './events';
export { WARNING_METRICS } from './metrics';
