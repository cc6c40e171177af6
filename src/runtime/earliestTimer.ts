import { type Clock } from './clock';
import { type Timer } from './timer';

/** Calls `run` once, at the earliest of the deadlines set since its last call. */
export class EarliestTimer {
  private timer: Timer | null = null;

  private dueAt = Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly run: () => void,
  ) {}

  /** Schedules the call for `deadline`, unless it is due earlier. */
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
