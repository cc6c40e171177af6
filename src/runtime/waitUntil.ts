import { type Clock } from './clock';

/** Resolves at or after the monotonic time `at`, or at once when `signal` is aborted. */
export function waitUntil(clock: Clock, at: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    const ended = new AbortController();
    const timer = clock.setTimer(at, () => {
      ended.abort();
      resolve();
    });
    const stop = () => {
      timer.cancel();
      resolve();
    };
    signal?.addEventListener('abort', stop, { once: true, signal: ended.signal });
  });
}
