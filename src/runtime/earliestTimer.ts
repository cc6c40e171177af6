import { type Clock } from './clock';
import { type Timer } from './timer';

/** Runs something once at the earliest of the deadlines that were asked for since it last ran. */
export class EarliestTimer {
  private timer: Timer | null = null;

  private dueAt = Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly run: () => void,
  ) {}

  /** Asks that it runs at `deadline` or before. */
  setBy(deadline: number): void {
    if (deadline >= this.dueAt) return;
    this.timer?.cancel();
    this.dueAt = deadline;
    this.timer = this.clock.setTimer(deadline, () => {
      this.dueAt = Infinity;
      this.run();
    });
  }
}
