import { type Clock } from './clock';

/**
 * Runs tasks in their order, each with what it triggers at once, for a share of each turn of the event
 * loop. In between the other input is read and timers fire.
 */
export class TurnQueue {
  private readonly tasks: (() => void)[] = [];

  private isRunning = false;

  private turnEndsAt = 0;

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

  private beginTurn(): void {
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
