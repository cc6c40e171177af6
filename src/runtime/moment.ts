/** A moment on each clock of this machine, in milliseconds; compared by `SuspensionClock` only. */
export interface Moment {
  readonly monotonicMs: number;
  readonly timeOfDayMs: number;
  readonly sinceBootMs: number;
  /** Number of steps of the time of day that the process had seen. */
  readonly steps: number;
}

/** The moment `milliseconds` before another one. */
export function before(moment: Moment, milliseconds: number): Moment {
  return {
    monotonicMs: moment.monotonicMs - milliseconds,
    timeOfDayMs: moment.timeOfDayMs - milliseconds,
    sinceBootMs: moment.sinceBootMs - milliseconds,
    steps: moment.steps,
  };
}
