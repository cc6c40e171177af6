import { type ConditionName } from './conditionName';

/** A warning that has been raised and not cleared. */
export interface OpenWarning {
  readonly condition: ConditionName;
  /** What the condition concerns: a service, a version, a fingerprint; empty for the whole fleet. */
  readonly subject: string;
  readonly detail: string;
  /** Monotonic time since which the condition has held. */
  readonly since: number;
}
