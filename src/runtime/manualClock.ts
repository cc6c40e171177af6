import { type Clock } from './clock';
import { type Timer } from './timer';

interface PendingTimer {
  readonly at: number;
  readonly run: () => void;
}

/** A clock that stands still until it is advanced; for tests and simulations of one process. */
export class ManualClock implements Clock {
  private time = 0;

  private readonly pending = new Set<PendingTimer>();

  now(): number {
    return this.time;
  }

  setTimer(at: number, run: () => void): Timer {
    const timer: PendingTimer = { at, run };
    this.pending.add(timer);
    return {
      cancel: () => {
        this.pending.delete(timer);
      },
    };
  }

  /** Moves time forward to `to`, firing due timers in order of their deadlines. */
  advanceTo(to: number): void {
    for (let due = this.earliest(to); due !== undefined; due = this.earliest(to)) {
      this.pending.delete(due);
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
    return this.pending.size;
  }

  private earliest(limit: number): PendingTimer | undefined {
    let best: PendingTimer | undefined;
    for (const timer of this.pending) {
      if (timer.at <= limit && (best === undefined || timer.at < best.at)) best = timer;
    }
    return best;
  }
}
