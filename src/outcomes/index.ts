export { type NotRunReason, isNotRunReason } from './notRunReason';
export { type NotRun, notRun } from './notRun';
export { type OutcomeUnknown, outcomeUnknown } from './outcomeUnknown';
export {
  type Problem,
  problemOf,
  NOT_RUN_TYPE,
  OUTCOME_UNKNOWN_TYPE,
  DUPLICATE_TYPE,
} from './problem';
export { type OutcomeKind } from './outcomeKind';
export { type OutcomeViolation } from './outcomeViolation';
export { OutcomeRecorder } from './outcomeRecorder';
export { OutcomeRecord } from './outcomeRecord';
