import { type ManualClock, type Random } from '../src/runtime';

/** Fault of a target in a comparison run. */
export type TargetFault = 'none' | 'straggler' | 'fail-fast';

const STRAGGLER_FACTOR = 10;
const FAIL_FAST_MS = 0.5;

/** A target as a multi-server FIFO queue; calls beyond the number of servers wait. */
export class QueueingTarget {
  private readonly serverFreeAt: number[];

  constructor(
    private readonly clock: ManualClock,
    private readonly random: Random,
    slots: number,
    private readonly serviceMs: number,
    private readonly fault: TargetFault,
    private readonly faultStartMs: number,
  ) {
    this.serverFreeAt = Array.from({ length: slots }, () => 0);
  }

  /** Runs one call; calls `done` with the status at the time of the response. */
  run(done: (status: number) => void): void {
    const now = this.clock.now();
    const fault = now < this.faultStartMs ? 'none' : this.fault;
    if (fault === 'fail-fast') {
      this.clock.setTimer(now + FAIL_FAST_MS, () => done(500));
      return;
    }
    const server = this.serverFreeAt.indexOf(Math.min(...this.serverFreeAt));
    const normalMs = this.serviceMs * (0.5 + this.random.next());
    const serviceMs = fault === 'straggler' ? normalMs * STRAGGLER_FACTOR : normalMs;
    const end = Math.max(now, this.serverFreeAt[server]!) + serviceMs;
    this.serverFreeAt[server] = end;
    this.clock.setTimer(end, () => done(200));
  }
}
