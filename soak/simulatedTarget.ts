import { type AttemptResult, type Slot } from '../src/routing';
import { type ManualClock, type Random, type Timer } from '../src/runtime';

// Slows calls down, yet lets them end within the run.
const STRAGGLER_FACTOR = 10;

interface RunningCall {
  readonly timer: Timer;
  readonly end: (result: AttemptResult) => void;
}

/** A target modelled by its service time, with the faults that the design covers. */
export class SimulatedTarget {
  /** Calls in flight. */
  inFlight = 0;

  highestInFlight = 0;

  isStraggling = false;

  isFailingFast = false;

  isDraining = false;

  isUnreachable = false;

  private instance = 1;

  private readonly running = new Set<RunningCall>();

  constructor(
    private readonly clock: ManualClock,
    private readonly random: Random,
    private readonly serviceMs: number,
  ) {}

  /** Simulates a restart of the process: calls in flight lose their connections. */
  restart(): void {
    this.instance += 1;
    const lost = [...this.running];
    this.running.clear();
    for (const { timer, end } of lost) {
      timer.cancel();
      end({ kind: 'connection-lost' });
    }
  }

  /** Runs the call of a slot; calls `done` with the result after the slot is finished. */
  run(slot: Slot, done: (result: AttemptResult) => void): void {
    if (this.isUnreachable) {
      slot.finish({ kind: 'connect-failed' });
      done({ kind: 'connect-failed' });
      return;
    }
    this.inFlight += 1;
    this.highestInFlight = Math.max(this.highestInFlight, this.inFlight);
    const end = (result: AttemptResult) => {
      this.inFlight -= 1;
      if (result.kind === 'answered') slot.recordAnswerHead();
      slot.finish(result);
      done(result);
    };
    const call: RunningCall = {
      timer: this.clock.setTimer(this.clock.now() + this.responseTimeMs(), () => {
        this.running.delete(call);
        end(this.makeResult());
      }),
      end,
    };
    this.running.add(call);
  }

  private responseTimeMs(): number {
    if (this.isFailingFast) return 1;
    const spread = this.serviceMs * (0.5 + this.random.next());
    return this.isStraggling ? spread * STRAGGLER_FACTOR : spread;
  }

  private makeResult(): AttemptResult {
    return {
      kind: 'answered',
      status: this.isFailingFast ? 500 : 200,
      signals: { instance: String(this.instance), draining: this.isDraining, utilization: null },
    };
  }
}
