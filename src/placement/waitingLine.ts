import { type Clock } from '../runtime';

/** What decides the order of calls that wait for a target. */
export interface Waiting {
  /** Rank among the priorities of the service: 0 for the most urgent. */
  readonly rank: number;
  /** Monotonic time after which no answer can come within the latency objective. */
  readonly latestStart: number;
  /** Lets the call look for a target again. */
  readonly wake: () => void;
}

type Order = Omit<Waiting, 'wake'>;

function isBefore(left: Order, right: Order, now: number): boolean {
  const isLeftLate = left.latestStart < now;
  const isRightLate = right.latestStart < now;
  if (isLeftLate !== isRightLate) return isRightLate;
  if (left.rank !== right.rank) return left.rank < right.rank;
  return left.latestStart < right.latestStart;
}

/**
 * Calls of one service that wait at this host: those that can still be in time first, of these the
 * most urgent, and of these the one whose time comes first. Load pattern: a burst above the capacity;
 * served in the order of arrival, all calls would be late instead of those beyond the capacity.
 */
export class WaitingLine {
  private readonly line = new Set<Waiting>();

  constructor(private readonly clock: Clock) {}

  /** Whether calls wait that come before one of this rank and objective. */
  hasBefore(call: Order): boolean {
    const now = this.clock.now();
    for (const other of this.line) if (isBefore(other, call, now)) return true;
    return false;
  }

  /** Adds a call. */
  add(call: Waiting): void {
    this.line.add(call);
  }

  /** Takes a call out of the line. */
  remove(call: Waiting): void {
    this.line.delete(call);
  }

  /** Lets the first `most` calls look for a target, in their order. */
  wake(most: number): void {
    const now = this.clock.now();
    const ordered = [...this.line].sort((left, right) => (isBefore(left, right, now) ? -1 : 1));
    for (const call of ordered.slice(0, most)) call.wake();
  }

  /** Number of calls that wait. */
  size(): number {
    return this.line.size;
  }
}
