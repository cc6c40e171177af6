/** A condition that needs a person when it lasts. */
export interface Condition {
  readonly meaning: string;
  /** What a person does about it. */
  readonly action: string;
  /** What ends the condition, and with it the warning. */
  readonly clearedBy: string;
  /** The warning is raised when the condition has lasted this long without a break. */
  readonly holdMs: number;
}
