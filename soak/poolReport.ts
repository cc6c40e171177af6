/** Counts of calls and violated invariants of a run. */
export interface PoolReport {
  readonly arrived: number;
  readonly answered: number;
  readonly notRun: number;
  readonly failed: number;
  readonly unsettled: number;
  readonly violations: number;
  readonly broken: readonly string[];
}
