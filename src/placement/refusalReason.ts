/** Why a call is not sent now. */
export type RefusalReason =
  | 'noConfiguration'
  | 'noTarget'
  | 'allCold'
  | 'overloaded'
  /** Targets that had room did not run it. */
  | 'refused'
  | 'outOfTime'
  | 'crashes'
  | 'stopping';
