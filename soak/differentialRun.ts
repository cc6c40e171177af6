import { build } from 'hdr-histogram-js';

import { type CallTraits, type PolicyName, Router } from '../src/routing';
import { ManualClock, SeededRandom } from '../src/runtime';

import { flush } from './flush';
import { QueueingTarget, type TargetFault } from './queueingTarget';
import { SimulatedFleet } from './simulatedFleet';
import { SIMULATED_SERVICE, simulatedSheet } from './simulatedSheet';

/** One comparison run. */
export interface DifferentialOptions {
  readonly policy: PolicyName;
  /** Fault of the first target; the other ones have none. */
  readonly fault: TargetFault;
  readonly seed: number;
  /** Simulated time for which calls arrive, in milliseconds. */
  readonly durationMs: number;
}

/** Latencies of successful and late calls in milliseconds, and counts. */
export interface DifferentialReport {
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly calls: number;
  readonly notRun: number;
  readonly errors: number;
  /** Calls without an answer at their deadline; their latency is the time limit. */
  readonly late: number;
}

const TARGETS = 16;
const SLOTS = 6;
const SERVICE_MS = 10;
const LOAD = 0.6;
const CALL_LIMIT_MS = 2000;
// Cold targets of the first seconds are not part of the comparison.
const WARM_UP_MS = 3000;
const MICROSECONDS = 1000;
const LARGEST_ATTEMPTS = 3;

class DifferentialRun {
  private readonly clock = new ManualClock();

  private readonly random: SeededRandom;

  private readonly router: Router;

  private readonly targets = new Map<string, QueueingTarget>();

  private readonly histogram = build({ numberOfSignificantValueDigits: 3 });

  private arrived = 0;

  private calls = 0;

  private notRun = 0;

  private errors = 0;

  private late = 0;

  constructor(private readonly options: DifferentialOptions) {
    const sheet = simulatedSheet({
      targets: TARGETS,
      slots: SLOTS,
      coldLimit: 2,
      coldMs: 0,
      rain: false,
    });
    this.random = new SeededRandom(options.seed);
    const fleet = new SimulatedFleet('host-1', sheet);
    const random = new SeededRandom(options.seed + 1);
    const service = new SeededRandom(options.seed + 2);
    this.router = new Router(fleet, this.clock, random, options.policy);
    [...sheet.targets.keys()].forEach((id, index) => {
      const fault = index === 0 ? options.fault : 'none';
      this.targets.set(
        id,
        new QueueingTarget(this.clock, service, SLOTS, SERVICE_MS, fault, WARM_UP_MS),
      );
    });
  }

  async run(): Promise<DifferentialReport> {
    const until = WARM_UP_MS + this.options.durationMs;
    const meanGapMs = SERVICE_MS / (LOAD * TARGETS * SLOTS);
    let next = 0;
    while (next < until) {
      next += -Math.log(1 - this.random.next()) * meanGapMs;
      this.clock.advanceTo(next);
      await flush();
      if (next >= WARM_UP_MS) this.arrived += 1;
      void this.place(this.call(), this.clock.now(), 1);
      await flush();
    }
    for (let step = 0; step < CALL_LIMIT_MS; step += 1) {
      this.clock.advanceBy(2);
      await flush();
    }
    while (this.calls + this.notRun < this.arrived) this.recordLate();
    const at = (percentile: number) =>
      this.histogram.getValueAtPercentile(percentile) / MICROSECONDS;
    const { calls, notRun, errors, late } = this;
    return { p50: at(50), p99: at(99), p999: at(99.9), calls, notRun, errors, late };
  }

  private call(): CallTraits {
    return {
      callId: '',
      service: SIMULATED_SERVICE,
      class: 'standard',
      idempotent: true,
      deadline: this.clock.now() + CALL_LIMIT_MS,
      suspect: null,
      avoid: new Set(),
    };
  }

  private async place(call: CallTraits, arrivedAt: number, attempt: number): Promise<void> {
    const slot = await this.router.pool(call.service).acquire(call);
    if (slot.err || slot.val.maySend().err) {
      if (slot.ok) slot.val.finish({ kind: 'not-sent' });
      if (arrivedAt >= WARM_UP_MS) this.notRun += 1;
      return;
    }
    const { target } = slot.val;
    this.targets.get(target.target)!.run((status) => {
      slot.val.recordAnswerHead();
      const signals = { instance: null, draining: false, utilization: null };
      slot.val.finish({ kind: 'answered', status, signals });
      if (status >= 500 && attempt < LARGEST_ATTEMPTS) {
        const avoid = new Set([...call.avoid, target.target]);
        void this.place({ ...call, avoid }, arrivedAt, attempt + 1);
      } else this.record(arrivedAt, status);
    });
  }

  private record(arrivedAt: number, status: number): void {
    if (arrivedAt < WARM_UP_MS) return;
    const took = this.clock.now() - arrivedAt;
    if (took >= CALL_LIMIT_MS) {
      this.recordLate();
      return;
    }
    this.calls += 1;
    if (status >= 500) this.errors += 1;
    else this.histogram.recordValue(Math.max(1, Math.round(took * MICROSECONDS)));
  }

  private recordLate(): void {
    this.calls += 1;
    this.late += 1;
    this.histogram.recordValue(CALL_LIMIT_MS * MICROSECONDS);
  }
}

/** Runs calls at 60% load against 16 targets of 6 slots, with a fault after the warm-up. */
export function runDifferential(options: DifferentialOptions): Promise<DifferentialReport> {
  return new DifferentialRun(options).run();
}
