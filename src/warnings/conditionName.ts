/** Names of the alert conditions, in the order of docs/operating.md. */
export const CONDITION_NAMES = [
  'zone-without-capacity',
  'service-without-capacity',
  'quorum-lost',
  'configuration-stale',
  'sheet-invalid',
  'sheet-not-published',
  'version-conflict',
  'call-crashes-targets',
] as const;

/** Name of a condition; also the title of its section in docs/operating.md. */
export type ConditionName = (typeof CONDITION_NAMES)[number];
