/** Why a call was refused without having run. */
export type NotRunReason =
  | 'bad-request'
  | 'unknown-service'
  | 'too-large'
  | 'overloaded'
  | 'no-usable-target'
  | 'deadline'
  | 'view-expired'
  | 'stopping'
  | 'refused-by-target'
  | 'key-home-unreachable'
  | 'duplicate'
  | 'crashes-targets';
