import { type ConditionName } from './conditionName';

/** A condition that needs a person. */
export interface OpenWarning {
  readonly condition: ConditionName;
  /** What the condition concerns: a service, a version, a fingerprint; empty for the whole fleet. */
  readonly subject: string;
  readonly detail: string;
  /** Monotonic time since which the condition has held. */
  readonly since: number;
}
