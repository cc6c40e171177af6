import { type Clock } from './clock';
import { type Timer } from './timer';

/** Calls `run` every `intervalMs` milliseconds until the returned function is called. */
export function runEvery(clock: Clock, intervalMs: number, run: () => void): () => void {
  let timer: Timer;
  const arm = () => {
    timer = clock.setTimer(clock.now() + intervalMs, () => {
      // An error of one run must not end the series.
      try {
        run();
      } finally {
        arm();
      }
    });
  };
  arm();
  return () => timer.cancel();
}
