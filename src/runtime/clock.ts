import { type Timer } from './timer';

/** Monotonic time in milliseconds; passed as an argument so that tests control it. */
export interface Clock {
  /** Milliseconds since an arbitrary fixed point; monotonic, and also runs while paused. */
  now(): number;
  /** Calls `run` once at or after the monotonic time `at`. */
  setTimer(at: number, run: () => void): Timer;
}
