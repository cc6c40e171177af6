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

/** Why a call was refused and did not run. */
export type NotRunReason = (typeof NOT_RUN_REASONS)[number];

/** Whether a value, such as one received from another host, is a known reason. */
export function isNotRunReason(value: unknown): value is NotRunReason {
  return NOT_RUN_REASONS.includes(value as NotRunReason);
}
