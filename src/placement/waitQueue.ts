import { type Clock } from '../runtime';

import { type TurnKeys, WaitTurns } from './waitTurns';

/** What the place of a call in a wait queue depends on. */
export interface QueuePosition extends TurnKeys {
  /** Identity of the call; ids that callers choose need not be unique. */
  readonly call: object;
  /** Monotonic time after which an answer within the latency objective is no longer possible. */
  readonly latestStart: number;
  /** Monotonic time until which the call has slack; -Infinity if it never has. */
  readonly slackUntil: number;
}

/** A call that waits for a target. */
export interface QueuedCall extends QueuePosition {
  /** Tries to place the call again. */
  readonly wake: () => void;
}

/**
 * Calls of one service that wait at this host: those that can still be in time first, of these the
 * most urgent, of these those without slack, of these the tenant that was placed longest ago, and of its
 * calls the one that must start first. Under a burst above the capacity, first-in-first-out order would
 * make all calls late instead of only those that exceed it. The first call of a rank or tenant that was
 * passed over too often precedes all others.
 */
export class WaitQueue {
  private readonly calls = new Map<object, QueuedCall>();

  private readonly turns = new WaitTurns();

  constructor(private readonly clock: Clock) {}

  /** Whether a queued call precedes this one. */
  hasCallAhead(call: QueuePosition): boolean {
    const due = this.dueCall();
    if (due !== null) return due.call !== call.call;
    const now = this.clock.now();
    for (const other of this.calls.values()) if (this.compare(other, call, now) < 0) return true;
    return false;
  }

  /** Whether it is the turn of this call because its rank or tenant was passed over too often. */
  isDue(call: object): boolean {
    return this.calls.has(call) && this.dueCall()?.call === call;
  }

  /** Adds a call to the queue. */
  add(call: QueuedCall): void {
    this.calls.set(call.call, call);
    this.turns.add(call);
  }

  /** Removes a call from the queue. */
  remove(call: QueuedCall): void {
    if (this.calls.delete(call.call)) this.turns.remove(call);
  }

  /** Records that a call that is not queued, or no longer, is placed. Wakes the call that is due then. */
  recordPlaced(call: TurnKeys): void {
    this.turns.recordPlaced(call);
    this.dueCall()?.wake();
  }

  /** Tries to place the first `maxCount` calls, in queue order. */
  wake(maxCount: number): void {
    const due = this.dueCall();
    const now = this.clock.now();
    const others = [...this.calls.values()].filter((call) => call !== due);
    others.sort((left, right) => this.compare(left, right, now));
    const ordered = due === null ? others : [due, ...others];
    for (const call of ordered.slice(0, maxCount)) call.wake();
  }

  /** Number of queued calls. */
  size(): number {
    return this.calls.size;
  }

  private dueCall(): QueuedCall | null {
    const due = this.turns.due();
    if (due === null) return null;
    const now = this.clock.now();
    let first: QueuedCall | null = null;
    for (const call of this.calls.values()) {
      const isDue = due.rank === undefined ? call.tenant === due.tenant : call.rank === due.rank;
      if (isDue && (first === null || this.compare(call, first, now) < 0)) first = call;
    }
    return first;
  }

  private compare(left: QueuePosition, right: QueuePosition, now: number): number {
    return (
      Number(left.latestStart < now) - Number(right.latestStart < now) ||
      left.rank - right.rank ||
      Number(left.slackUntil > now) - Number(right.slackUntil > now) ||
      this.turns.lastPlacement(left.tenant) - this.turns.lastPlacement(right.tenant) ||
      left.latestStart - right.latestStart
    );
  }
}
