import { type Clock } from './clock';
import { type Timer } from './timer';

interface PendingTimer {
  readonly at: number;
  readonly run: () => void;
  /** Sequence number; timers due at the same time fire in the order in which they were set. */
  readonly order: number;
  hasEnded: boolean;
}

function isBefore(left: PendingTimer, right: PendingTimer): boolean {
  return left.at < right.at || (left.at === right.at && left.order < right.order);
}

/** A clock that only moves when it is advanced; for tests and simulations in one process. */
export class ManualClock implements Clock {
  private time = 0;

  /** Pending timers, as a binary heap by the time at which they are due. */
  private readonly heap: PendingTimer[] = [];

  private timerCount = 0;

  private pendingCount = 0;

  now(): number {
    return this.time;
  }

  setTimer(at: number, run: () => void): Timer {
    this.timerCount += 1;
    const timer: PendingTimer = { at, run, order: this.timerCount, hasEnded: false };
    this.pendingCount += 1;
    this.push(timer);
    return {
      cancel: () => {
        if (!timer.hasEnded) this.pendingCount -= 1;
        timer.hasEnded = true;
      },
    };
  }

  /** Moves time forward to `to`, firing due timers in order of their deadlines. */
  advanceTo(to: number): void {
    for (let due = this.earliest(to); due !== undefined; due = this.earliest(to)) {
      due.hasEnded = true;
      this.pendingCount -= 1;
      this.time = Math.max(this.time, due.at);
      due.run();
    }
    this.time = Math.max(this.time, to);
  }

  /** Moves time forward by `milliseconds`. */
  advanceBy(milliseconds: number): void {
    this.advanceTo(this.time + milliseconds);
  }

  /** Number of timers that have neither fired nor been cancelled. */
  pendingTimers(): number {
    return this.pendingCount;
  }

  private earliest(limit: number): PendingTimer | undefined {
    for (let first = this.heap.at(0); first !== undefined; first = this.heap.at(0)) {
      if (!first.hasEnded && first.at > limit) return undefined;
      this.pop();
      if (!first.hasEnded) return first;
    }
    return undefined;
  }

  private push(timer: PendingTimer): void {
    const { heap } = this;
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (isBefore(heap[parent]!, timer)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = timer;
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop()!;
    if (heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child += 1;
      if (isBefore(last, heap[child]!)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
  }
}
