import { type Clock } from './clock';

/** Resolves at or after the monotonic time `at`, or at once when `signal` is aborted. */
export function waitUntil(clock: Clock, at: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    let finish: () => void = resolve;
    const timer = clock.setTimer(at, () => finish());
    if (signal === undefined) return;
    const stop = () => {
      timer.cancel();
      finish();
    };
    finish = () => {
      signal.removeEventListener('abort', stop);
      resolve();
    };
    signal.addEventListener('abort', stop, { once: true });
  });
}
