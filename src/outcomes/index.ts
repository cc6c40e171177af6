export { type NotRunReason } from './notRunReason';
export { type NotRun, notRun } from './notRun';
export { type OutcomeUnknown, outcomeUnknown } from './outcomeUnknown';
export {
  type Problem,
  problemOf,
  NOT_RUN_TYPE,
  OUTCOME_UNKNOWN_TYPE,
  DUPLICATE_TYPE,
} from './problem';
