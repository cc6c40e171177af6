import { type Clock } from './clock';
import { type Moment } from './moment';
import { type SystemTimes } from './systemTimes';

/**
 * Measures elapsed time that includes suspensions of the machine, during which its monotonic clock
 * stands still. Elapsed time is never too short while one of the clocks is right; a forward step of the
 * time of day makes it too long for moments before the step.
 */
export class SuspensionClock {
  constructor(
    private readonly clock: Clock,
    private readonly times: SystemTimes,
  ) {}

  /** The present moment. */
  now(): Moment {
    return {
      monotonicMs: this.clock.now(),
      timeOfDayMs: this.times.timeOfDay(),
      sinceBootMs: this.times.sinceBoot(),
    };
  }

  /** Milliseconds that have passed since a moment, on the clock on which most have. */
  elapsedSince(moment: Moment): number {
    const now = this.now();
    return Math.max(
      now.monotonicMs - moment.monotonicMs,
      now.timeOfDayMs - moment.timeOfDayMs,
      now.sinceBootMs - moment.sinceBootMs,
    );
  }
}
