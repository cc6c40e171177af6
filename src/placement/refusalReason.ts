/** Why a call is not sent to a target. */
export type RefusalReason =
  | 'noConfiguration'
  | 'noTarget'
  | 'allCold'
  | 'overloaded'
  /** Targets with free slots refused to run it. */
  | 'refused'
  | 'outOfTime'
  | 'crashes'
  | 'stopping';
