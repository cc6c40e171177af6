/** Names of the conditions that may need a person. */
export const CONDITION_NAMES = [
  'no-capacity',
  'configuration-stale',
  'sheet-invalid',
  'sheet-not-published',
  'quorum-lost',
  'call-crashes-targets',
  'version-conflict',
] as const;

/** Name of a condition; the same as its section in docs/operating.md. */
export type ConditionName = (typeof CONDITION_NAMES)[number];
