import { type ManualClock, type Random } from '../src/runtime';

/** Fault of a target in a comparison run. */
export type TargetFault = 'none' | 'straggler' | 'fail-fast';

const STRAGGLER_FACTOR = 10;
const FAIL_FAST_MS = 0.5;

/** A target with a fixed number of servers; calls beyond them wait in the order of arrival. */
export class QueueingTarget {
  private readonly freeAt: number[];

  constructor(
    private readonly clock: ManualClock,
    private readonly random: Random,
    slots: number,
    private readonly serviceMs: number,
    private readonly fault: TargetFault,
    private readonly faultFrom: number,
  ) {
    this.freeAt = Array.from({ length: slots }, () => 0);
  }

  /** Runs one call; `done` is called with the status at the time of the answer. */
  run(done: (status: number) => void): void {
    const now = this.clock.now();
    const fault = now < this.faultFrom ? 'none' : this.fault;
    if (fault === 'fail-fast') {
      this.clock.setTimer(now + FAIL_FAST_MS, () => done(500));
      return;
    }
    const server = this.freeAt.indexOf(Math.min(...this.freeAt));
    const spread = this.serviceMs * (0.5 + this.random.next());
    const service = fault === 'straggler' ? spread * STRAGGLER_FACTOR : spread;
    const end = Math.max(now, this.freeAt[server]!) + service;
    this.freeAt[server] = end;
    this.clock.setTimer(end, () => done(200));
  }
}
