import { uptime } from 'node:os';

const MILLISECONDS_PER_SECOND = 1000;

/** Clocks of the system that also run while the machine is suspended, in milliseconds. */
export interface SystemTimes {
  /** The time of day; may step in both directions. */
  timeOfDay(): number;
  /** Time since the machine started; in whole seconds on some systems. */
  sinceBoot(): number;
}

/** The clocks of the system on which the process runs. */
export const SYSTEM_TIMES: SystemTimes = {
  // The monotonic clock stands still while the machine is suspended, the time of day does not. The
  // time of day is read here only, as it may step.
  // eslint-disable-next-line no-restricted-properties
  timeOfDay: () => Date.now(),
  sinceBoot: () => uptime() * MILLISECONDS_PER_SECOND,
};
