import { type Clock } from '../runtime';

import { type InFlightCounts, SEQUENCE_VALUES } from './inFlightCounts';

// Hosts refresh their counts every 500 ms, so that a count of this age comes from a host that
// crashed or is partitioned. Its calls have ended, or they appear in load reports as unattributed
// calls.
const COUNT_LIFETIME_MS = 1200;

// Datagrams are overtaken by later ones for milliseconds only; a count that is older than this is
// replaced by any other, so that sequence numbers may start again.
const MAX_REORDERING_MS = 200;

interface ReceivedCount {
  readonly calls: number;
  readonly sequence: number;
  readonly receivedAt: number;
}

function isOvertaken(sequence: number, previous: ReceivedCount, receivedAt: number): boolean {
  const behind = (previous.sequence - sequence + SEQUENCE_VALUES) % SEQUENCE_VALUES;
  const isEarlier = behind > 0 && behind < SEQUENCE_VALUES / 2;
  return isEarlier && receivedAt - previous.receivedAt < MAX_REORDERING_MS;
}

/** Calls that the other hosts have in flight at each target. */
export class InFlightTable {
  private readonly counts = new Map<number, Map<number, ReceivedCount>>();

  private readonly totals = new Map<number, number>();

  constructor(private readonly clock: Clock) {}

  /** Applies the counts of a host; a count older than the last one received is ignored. */
  apply({ host, sequence, calls }: InFlightCounts): void {
    const receivedAt = this.clock.now();
    for (const [target, count] of calls) {
      const byHost = this.countsAt(target);
      const previous = byHost.get(host);
      if (previous !== undefined && isOvertaken(sequence, previous, receivedAt)) continue;
      byHost.set(host, { calls: count, sequence, receivedAt });
      this.addTotal(target, count - (previous?.calls ?? 0));
    }
  }

  /** Sum of the calls of all other hosts at the target with this key. */
  callsAt(targetKey: number): number {
    return this.totals.get(targetKey) ?? 0;
  }

  /** Removes counts that were not refreshed in time; called periodically. */
  removeExpired(): void {
    const oldest = this.clock.now() - COUNT_LIFETIME_MS;
    for (const [target, byHost] of this.counts) {
      for (const [host, held] of byHost) {
        if (held.receivedAt >= oldest) continue;
        byHost.delete(host);
        this.addTotal(target, -held.calls);
      }
      if (byHost.size === 0) {
        this.counts.delete(target);
        this.totals.delete(target);
      }
    }
  }

  private countsAt(target: number): Map<number, ReceivedCount> {
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
