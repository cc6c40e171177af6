import { type Clock } from '../runtime';

import { type FlightCounts } from './flightCounts';

// A host repeats what it has in flight every 500 ms, so that a count this old is of a host that died
// or is cut off; its calls are gone, or are seen as load that nobody told of.
const COUNT_LIFE_MS = 1200;

interface HeldCount {
  readonly calls: number;
  readonly sequence: number;
  readonly heardAt: number;
}

/** Calls that the other hosts have in flight at each target. */
export class FlightTable {
  private readonly counts = new Map<number, Map<number, HeldCount>>();

  private readonly totals = new Map<number, number>();

  constructor(private readonly clock: Clock) {}

  /** Takes what a host has in flight, unless a later message of it has come before. */
  take({ host, sequence, calls }: FlightCounts): void {
    const heardAt = this.clock.now();
    for (const [target, count] of calls) {
      const byHost = this.countsAt(target);
      const held = byHost.get(host);
      if (held !== undefined && held.sequence > sequence) continue;
      byHost.set(host, { calls: count, sequence, heardAt });
      this.addTotal(target, count - (held?.calls ?? 0));
    }
  }

  /** Calls of all other hosts at the target with this key. */
  at(targetKey: number): number {
    return this.totals.get(targetKey) ?? 0;
  }

  /** Forgets counts that were not repeated in time; called regularly. */
  sweep(): void {
    const oldest = this.clock.now() - COUNT_LIFE_MS;
    for (const [target, byHost] of this.counts) {
      for (const [host, held] of byHost) {
        if (held.heardAt >= oldest) continue;
        byHost.delete(host);
        this.addTotal(target, -held.calls);
      }
      if (byHost.size === 0) {
        this.counts.delete(target);
        this.totals.delete(target);
      }
    }
  }

  private countsAt(target: number): Map<number, HeldCount> {
    let byHost = this.counts.get(target);
    if (byHost === undefined) {
      byHost = new Map();
      this.counts.set(target, byHost);
    }
    return byHost;
  }

  private addTotal(target: number, change: number): void {
    this.totals.set(target, (this.totals.get(target) ?? 0) + change);
  }
}
