import { type Clock } from './clock';
import { type Moment } from './moment';
import { SinceBootCheck } from './sinceBootCheck';
import { type SystemTimes } from './systemTimes';

// Shorter intervals would be dominated by the resolution of the clocks.
const COMPARE_INTERVAL_MS = 40;
// Larger than the time between the readings of two clocks and than a correction of the time of day by
// its synchronization within an interval.
const STEP_TOLERANCE_MS = 30;

/**
 * Measures elapsed time that includes suspensions of the machine, during which its monotonic clock
 * stands still. Elapsed time is never too short while one of the clocks is right; a forward step of the
 * time of day makes it too long for moments before the step. Without a usable time since boot, a step may
 * hide a suspension, and the time that elapsed since a moment before it is infinite.
 */
export class SuspensionClock {
  private readonly check = new SinceBootCheck();

  private compared: Moment;

  private steps = 0;

  constructor(
    private readonly clock: Clock,
    private readonly times: SystemTimes,
  ) {
    this.compared = this.read(0);
  }

  /** The present moment. */
  now(): Moment {
    const moment = this.read(this.steps);
    this.compare(moment);
    return { ...moment, steps: this.steps };
  }

  /** Milliseconds that have passed since a moment, on the clock on which most have. */
  elapsedSince(moment: Moment): number {
    const now = this.now();
    const elapsedMs = Math.max(
      now.monotonicMs - moment.monotonicMs,
      now.timeOfDayMs - moment.timeOfDayMs,
    );
    if (this.isSinceBootUsed()) return Math.max(elapsedMs, now.sinceBootMs - moment.sinceBootMs);
    return now.steps === moment.steps ? elapsedMs : Infinity;
  }

  /** Whether the time since boot is that of the machine whose other clocks the process sees. */
  isSinceBootUsed(): boolean {
    return this.check.isReliable();
  }

  private read(steps: number): Moment {
    return {
      monotonicMs: this.clock.now(),
      timeOfDayMs: this.times.timeOfDay(),
      sinceBootMs: this.isSinceBootUsed() ? this.times.sinceBoot() : 0,
      steps,
    };
  }

  private compare(moment: Moment): void {
    const advance = {
      monotonicMs: moment.monotonicMs - this.compared.monotonicMs,
      timeOfDayMs: moment.timeOfDayMs - this.compared.timeOfDayMs,
      sinceBootMs: moment.sinceBootMs - this.compared.sinceBootMs,
    };
    const hasStepped = Math.abs(advance.timeOfDayMs - advance.monotonicMs) > STEP_TOLERANCE_MS;
    if (!hasStepped && advance.monotonicMs < COMPARE_INTERVAL_MS) return;
    if (hasStepped) this.steps += 1;
    this.check.record(advance);
    this.compared = moment;
  }
}
