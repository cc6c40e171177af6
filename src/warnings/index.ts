export { CONDITION_NAMES, type ConditionName } from './conditionName';
export { type OpenWarning } from './openWarning';
