/** Why a call is not sent now. */
export type RefusalReason =
  'noConfiguration' | 'noTarget' | 'allCold' | 'overloaded' | 'outOfTime' | 'crashes' | 'stopping';
