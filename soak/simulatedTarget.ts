import { type AttemptResult, type Slot } from '../src/routing';
import { type ManualClock, type Random, type Timer } from '../src/runtime';

// Large enough that a straggler's calls end within the run.
const STRAGGLER_FACTOR = 10;

interface RunningCall {
  readonly timer: Timer;
  readonly end: (result: AttemptResult) => void;
}

/** A target as a function of service time, with the faults of the design. */
export class SimulatedTarget {
  /** Calls that the target runs now. */
  inFlight = 0;

  highest = 0;

  straggles = false;

  failsFast = false;

  drains = false;

  unreachable = false;

  private instance = 1;

  private readonly running = new Set<RunningCall>();

  constructor(
    private readonly clock: ManualClock,
    private readonly random: Random,
    private readonly serviceMs: number,
  ) {}

  /** Starts a new process: calls in flight lose their connections. */
  restart(): void {
    this.instance += 1;
    const lost = [...this.running];
    this.running.clear();
    for (const { timer, end } of lost) {
      timer.cancel();
      end({ kind: 'connection-lost' });
    }
  }

  /** Runs the call of a slot that may leave; `done` gets the result after the slot is finished. */
  run(slot: Slot, done: (result: AttemptResult) => void): void {
    if (this.unreachable) {
      slot.finish({ kind: 'connect-failed' });
      done({ kind: 'connect-failed' });
      return;
    }
    this.inFlight += 1;
    this.highest = Math.max(this.highest, this.inFlight);
    const end = (result: AttemptResult) => {
      this.inFlight -= 1;
      if (result.kind === 'answered') slot.recordAnswerHead();
      slot.finish(result);
      done(result);
    };
    const call: RunningCall = {
      timer: this.clock.setTimer(this.clock.now() + this.answerMs(), () => {
        this.running.delete(call);
        end(this.answer());
      }),
      end,
    };
    this.running.add(call);
  }

  private answerMs(): number {
    if (this.failsFast) return 1;
    const spread = this.serviceMs * (0.5 + this.random.next());
    return this.straggles ? spread * STRAGGLER_FACTOR : spread;
  }

  private answer(): AttemptResult {
    return {
      kind: 'answered',
      status: this.failsFast ? 500 : 200,
      signals: { instance: String(this.instance), draining: this.drains, utilization: null },
    };
  }
}
