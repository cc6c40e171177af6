const NOT_RUN_REASONS = [
  'bad-request',
  'method-refused',
  'slow-request',
  'unknown-service',
  'too-large',
  'headers-too-large',
  'overloaded',
  'no-usable-target',
  'deadline',
  'view-expired',
  'stopping',
  'refused-by-target',
  'key-home-unreachable',
  'key-reused',
  'duplicate',
  'crashes-targets',
] as const;

/** Why a call was refused without having run. */
export type NotRunReason = (typeof NOT_RUN_REASONS)[number];

/** True for the text of a known reason, as another host may send it. */
export function isNotRunReason(value: unknown): value is NotRunReason {
  return NOT_RUN_REASONS.includes(value as NotRunReason);
}
