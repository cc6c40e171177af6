import { performance } from 'node:perf_hooks';

import { type Clock } from './clock';
import { type Timer } from './timer';

// Node.js fires a timer of more than 2^31 - 1 ms at once, so longer delays are split.
const MAX_TIMEOUT_MS = 2 ** 31 - 1;

/** The clock of the running process. */
export class SystemClock implements Clock {
  now(): number {
    return performance.now();
  }

  setTimer(at: number, run: () => void): Timer {
    let handle: NodeJS.Timeout;
    const arm = () => {
      const remainingMs = Math.max(0, at - this.now());
      handle =
        remainingMs > MAX_TIMEOUT_MS
          ? setTimeout(arm, MAX_TIMEOUT_MS)
          : setTimeout(run, remainingMs);
    };
    arm();
    return { cancel: () => clearTimeout(handle) };
  }
}
