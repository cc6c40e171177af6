/** A condition that needs an operator when it persists. */
export interface Condition {
  readonly meaning: string;
  /** What the operator should do. */
  readonly action: string;
  /** What ends the condition and clears the warning. */
  readonly clearedBy: string;
  /** Time for which the condition must hold without interruption before the warning is raised. */
  readonly holdMs: number;
}
