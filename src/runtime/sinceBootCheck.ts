/** How far the clocks of a machine advanced between two readings, in milliseconds. */
export interface ClockAdvance {
  readonly monotonicMs: number;
  readonly timeOfDayMs: number;
  readonly sinceBootMs: number;
}

// Resolution of the time since boot, and time between the readings of the clocks.
const READING_ERROR_MS = 15;
const MIN_RATE = 1.2;
// A suspension that coincides with a backward step of the time of day looks the same, but not so often.
const MOST_LEADS = 20;

/**
 * Tells whether the time since boot is that of the machine whose other clocks the process sees. Where a
 * process runs on emulated clocks, `/proc/uptime` may be that of the real machine and run faster, so that
 * all proofs would look too old.
 */
export class SinceBootCheck {
  private leads = 0;

  /** Whether the time since boot may be used. */
  isReliable(): boolean {
    return this.leads < MOST_LEADS;
  }

  /** Compares the advance of the clocks; a suspension shows in the time of day too. */
  record({ monotonicMs, timeOfDayMs, sinceBootMs }: ClockAdvance): void {
    if (!this.isReliable()) return;
    const expectedMs = Math.max(monotonicMs, timeOfDayMs);
    const isAhead = sinceBootMs > expectedMs * MIN_RATE + READING_ERROR_MS;
    this.leads = Math.max(0, this.leads + (isAhead ? 1 : -1));
  }
}
