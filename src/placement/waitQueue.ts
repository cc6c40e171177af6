import { type Clock } from '../runtime';

/** A call that waits for a target. */
export interface QueuedCall {
  /** Rank among the priorities of the service; 0 is the most urgent. */
  readonly rank: number;
  /** Monotonic time after which an answer within the latency objective is no longer possible. */
  readonly latestStart: number;
  /** Tries to place the call again. */
  readonly wake: () => void;
}

type QueuePosition = Omit<QueuedCall, 'wake'>;

function isBefore(left: QueuePosition, right: QueuePosition, now: number): boolean {
  const isLeftLate = left.latestStart < now;
  const isRightLate = right.latestStart < now;
  if (isLeftLate !== isRightLate) return isRightLate;
  if (left.rank !== right.rank) return left.rank < right.rank;
  return left.latestStart < right.latestStart;
}

/**
 * Calls of one service that wait at this host: those that can still be in time first, of these the
 * most urgent, and of these the one that must start first. Under a burst above the capacity,
 * first-in-first-out order would make all calls late instead of only those that exceed it.
 */
export class WaitQueue {
  private readonly calls = new Set<QueuedCall>();

  constructor(private readonly clock: Clock) {}

  /** Whether a queued call precedes one of this rank and latest start. */
  hasCallAhead(call: QueuePosition): boolean {
    const now = this.clock.now();
    for (const other of this.calls) if (isBefore(other, call, now)) return true;
    return false;
  }

  /** Adds a call to the queue. */
  add(call: QueuedCall): void {
    this.calls.add(call);
  }

  /** Removes a call from the queue. */
  remove(call: QueuedCall): void {
    this.calls.delete(call);
  }

  /** Tries to place the first `maxCount` calls, in queue order. */
  wake(maxCount: number): void {
    const now = this.clock.now();
    const ordered = [...this.calls].sort((left, right) => (isBefore(left, right, now) ? -1 : 1));
    for (const call of ordered.slice(0, maxCount)) call.wake();
  }

  /** Number of queued calls. */
  size(): number {
    return this.calls.size;
  }
}
