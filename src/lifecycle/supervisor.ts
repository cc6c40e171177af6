import { type Clock, waitUntil } from '../runtime';

import { type TaskFailure } from './taskFailure';

const BASE_DELAY_MS = 100;
const MAX_DELAY_MS = 2000;
// After an error, a task that had run for this long is started again after the shortest delay.
const SOUND_RUN_MS = 10_000;

/** Keeps long-running tasks alive: one that ends with an error is started again. */
export class Supervisor {
  constructor(
    private readonly clock: Clock,
    private readonly onFailure: (failure: TaskFailure) => void,
  ) {}

  /**
   * Runs `loop` until it ends without an error. After each error it is started again, after a delay that
   * doubles from 100 ms up to 2 s. It never rejects.
   */
  async run(task: string, loop: () => Promise<void> | void): Promise<void> {
    let retryMs = BASE_DELAY_MS;
    for (;;) {
      const startedAt = this.clock.now();
      try {
        await loop();
        return;
      } catch (error) {
        if (this.clock.now() - startedAt >= SOUND_RUN_MS) retryMs = BASE_DELAY_MS;
        this.report({ task, error, retryMs });
      }
      await waitUntil(this.clock, this.clock.now() + retryMs);
      retryMs = Math.min(2 * retryMs, MAX_DELAY_MS);
    }
  }

  private report(failure: TaskFailure): void {
    try {
      this.onFailure(failure);
    } catch {
      // An error of the log must not end the task for good.
    }
  }
}
