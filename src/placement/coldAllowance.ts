import { type Clock } from '../runtime';

const WINDOW_MS = 1000;

/** Recent sends to cold targets by this host, at most as many in a second as it may send. */
export class ColdAllowance {
  private readonly sent = new Map<string, number[]>();

  constructor(private readonly clock: Clock) {}

  /** Takes one send to `target` unless this host has sent `mostPerSecond` in the last second. */
  take(target: string, mostPerSecond: number): boolean {
    const now = this.clock.now();
    const recent = (this.sent.get(target) ?? []).filter((at) => now - at < WINDOW_MS);
    const allowed = recent.length + 1 <= mostPerSecond;
    if (allowed) recent.push(now);
    this.sent.set(target, recent);
    return allowed;
  }

  /** Forgets targets that are gone. */
  keepOnly(has: (target: string) => boolean): void {
    for (const target of this.sent.keys()) if (!has(target)) this.sent.delete(target);
  }
}
