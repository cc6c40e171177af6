/** Observation of a target by one host, as sent to the other hosts. */
export interface TargetReport {
  readonly target: string;
  /** Age of the observation in milliseconds at the time it is sent. */
  readonly age: number;
  /** Calls running and waiting at the target; null if the observation has no load. */
  readonly running: number | null;
  readonly waiting: number | null;
  /** Current latency in percent of the usual; null if unknown. */
  readonly pace: number | null;
  readonly observation: ObservationKind;
  /**
   * Calls per second that the target takes from all hosts, Infinity if it stated no limit; null when
   * the observation says nothing of it.
   */
  readonly callLimit: number | null;
  /** Remaining warm-up time of the target in milliseconds; null if not reported. */
  readonly coldLeft: number | null;
}

/**
 * Kind of an observation: `answer` of a call, `probe` for a successful health check, `ill` for a
 * failed one, `failure` of a call, `refusal` of a call that was not run, `lost` for a target that
 * refuses, resets or does not answer connections.
 */
export type ObservationKind = 'answer' | 'probe' | 'ill' | 'failure' | 'refusal' | 'lost';
