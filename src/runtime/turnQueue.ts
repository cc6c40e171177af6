import { type Clock } from './clock';

// Tasks are put off for at most so many turns in a row.
const MAX_TURNS_PUT_OFF = 32;

/**
 * Runs tasks in their order, each with what it triggers at once, for a share of each turn of the event
 * loop. In between the other input is read and timers fire.
 */
export class TurnQueue {
  private readonly tasks: (() => void)[] = [];

  private isRunning = false;

  private turnEndsAt = 0;

  private isPutOff = false;

  private turnsPutOff = 0;

  constructor(
    private readonly clock: Clock,
    private readonly shareMs: number,
    /** Calls back in the next turn. */
    private readonly nextTurn: (run: () => void) => void = setImmediate,
  ) {}

  /** Adds a task, which runs in a later turn. */
  add(task: () => void): void {
    this.tasks.push(task);
    if (this.isRunning) return;
    this.isRunning = true;
    this.nextTurn(() => this.beginTurn());
  }

  /** Leaves the next turn of the event loop to other work, but not for long if this goes on. */
  putOff(): void {
    this.isPutOff = true;
  }

  private beginTurn(): void {
    if (this.isPutOff && this.turnsPutOff < MAX_TURNS_PUT_OFF) {
      this.isPutOff = false;
      this.turnsPutOff += 1;
      this.nextTurn(() => this.beginTurn());
      return;
    }
    this.isPutOff = false;
    this.turnsPutOff = 0;
    this.turnEndsAt = this.clock.now() + this.shareMs;
    this.runNext();
  }

  private runNext(): void {
    const task = this.tasks.shift();
    if (task === undefined) {
      this.isRunning = false;
      return;
    }
    task();
    queueMicrotask(() => {
      if (this.tasks.length === 0 || this.clock.now() < this.turnEndsAt) this.runNext();
      else this.nextTurn(() => this.beginTurn());
    });
  }
}
