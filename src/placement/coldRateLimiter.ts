import { type Clock } from '../runtime';

const WINDOW_MS = 1000;

/** Limits the calls per second that this host sends to each cold target, over a sliding window. */
export class ColdRateLimiter {
  private readonly sendTimes = new Map<string, number[]>();

  constructor(private readonly clock: Clock) {}

  /** Acquires one call to `target` unless `maxPerSecond` calls were sent in the last second. */
  tryAcquire(target: string, maxPerSecond: number): boolean {
    const now = this.clock.now();
    const recent = (this.sendTimes.get(target) ?? []).filter((at) => now - at < WINDOW_MS);
    const isAllowed = recent.length + 1 <= maxPerSecond;
    if (isAllowed) recent.push(now);
    this.sendTimes.set(target, recent);
    return isAllowed;
  }

  /** Removes the state of targets for which `has` is false. */
  retainTargets(has: (target: string) => boolean): void {
    for (const target of this.sendTimes.keys()) if (!has(target)) this.sendTimes.delete(target);
  }
}
