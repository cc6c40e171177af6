import { type Clock } from '../runtime';

const WINDOW_MS = 1000;

/** Limits the calls per second that this host sends to each target, over a sliding window. */
export class CallRateLimiter {
  private readonly sendTimes = new Map<string, readonly number[]>();

  constructor(private readonly clock: Clock) {}

  /**
   * Time in milliseconds until a call may be sent to `target` at `callsPerSecond`; Infinity at 0. A
   * rate below one allows one call in a window that is longer by as much.
   */
  delay(target: string, callsPerSecond: number): number {
    if (callsPerSecond <= 0) return Infinity;
    const maxCalls = Math.max(1, Math.floor(callsPerSecond));
    const windowMs = WINDOW_MS * Math.max(1, 1 / callsPerSecond);
    const last = this.sendTimes.get(target)?.at(-maxCalls);
    return last === undefined ? 0 : Math.max(0, last + windowMs - this.clock.now());
  }

  /** Records a call that is sent to `target` now. */
  record(target: string): void {
    const now = this.clock.now();
    const recent = (this.sendTimes.get(target) ?? []).filter((at) => now - at < WINDOW_MS);
    this.sendTimes.set(target, [...recent, now]);
  }

  /** Forgets the last call recorded for `target`, which was not sent. */
  withdraw(target: string): void {
    this.sendTimes.set(target, (this.sendTimes.get(target) ?? []).slice(0, -1));
  }

  /** Removes the state of targets for which `has` is false. */
  retainTargets(has: (target: string) => boolean): void {
    for (const target of this.sendTimes.keys()) if (!has(target)) this.sendTimes.delete(target);
  }
}
