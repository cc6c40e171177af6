/** What one host saw of a target, as it is told to the other hosts. */
export interface TargetReport {
  readonly target: string;
  /** Age of the observation in milliseconds when it was sent. */
  readonly age: number;
  /** Calls running and waiting at the target; null when the observation says nothing of load. */
  readonly running: number | null;
  readonly waiting: number | null;
  /** Time that work takes there at this moment, in percent of the usual; null when unknown. */
  readonly pace: number | null;
  readonly sight: TargetSight;
  /** How much longer the target stays cold, in milliseconds; null when it was not said. */
  readonly coldLeft: number | null;
}

/**
 * What kind of observation it was: `answer` of a call, `probe` that was answered well, `ill` probe,
 * `failure` of a call, `refusal` of a call that was not run, `lost` for a target that refuses, resets or does not answer connections.
 */
export type TargetSight = 'answer' | 'probe' | 'ill' | 'failure' | 'refusal' | 'lost';
