import { build } from 'hdr-histogram-js';

import { type CallTraits, type PolicyName, Router } from '../src/routing';
import { ManualClock, SeededRandom } from '../src/runtime';

import { flush } from './flush';
import { QueueingTarget, type TargetFault } from './queueingTarget';
import { SimulatedFleet } from './simulatedFleet';
import { SIMULATED_SERVICE, simulatedSheet } from './simulatedSheet';

/** Options of one comparison run. */
export interface DifferentialOptions {
  readonly policy: PolicyName;
  /** Fault of the first target; all other targets are healthy. */
  readonly fault: TargetFault;
  readonly seed: number;
  /** Simulated duration of the arrivals after the warm-up, in milliseconds. */
  readonly durationMs: number;
}

/** Latency quantiles of successful and timed-out calls in milliseconds, and counts of calls. */
export interface DifferentialReport {
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly calls: number;
  readonly notRun: number;
  readonly errors: number;
  /** Calls without a response at their deadline; their latency counts as the time limit. */
  readonly late: number;
}

const TARGETS = 16;
const SLOTS = 6;
const SERVICE_MS = 10;
const LOAD_SHARE = 0.6;
const CALL_TIMEOUT_MS = 2000;
// Excludes the first seconds, in which targets are cold, from the comparison.
const WARM_UP_MS = 3000;
const MICROSECONDS_PER_MS = 1000;
const MAX_ATTEMPTS = 3;

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
    const endMs = WARM_UP_MS + this.options.durationMs;
    const meanGapMs = SERVICE_MS / (LOAD_SHARE * TARGETS * SLOTS);
    let nextArrivalMs = 0;
    while (nextArrivalMs < endMs) {
      nextArrivalMs += -Math.log(1 - this.random.next()) * meanGapMs;
      this.clock.advanceTo(nextArrivalMs);
      await flush();
      if (nextArrivalMs >= WARM_UP_MS) this.arrived += 1;
      void this.startAttempt(this.makeCall(), this.clock.now(), 1);
      await flush();
    }
    for (let step = 0; step < CALL_TIMEOUT_MS; step += 1) {
      this.clock.advanceBy(2);
      await flush();
    }
    while (this.calls + this.notRun < this.arrived) this.recordLate();
    const quantileMs = (percentile: number) =>
      this.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
    const { calls, notRun, errors, late } = this;
    return {
      p50: quantileMs(50),
      p99: quantileMs(99),
      p999: quantileMs(99.9),
      calls,
      notRun,
      errors,
      late,
    };
  }

  private makeCall(): CallTraits {
    return {
      callId: '',
      service: SIMULATED_SERVICE,
      class: 'standard',
      idempotent: true,
      deadline: this.clock.now() + CALL_TIMEOUT_MS,
      suspect: null,
      avoid: new Set(),
    };
  }

  private async startAttempt(call: CallTraits, arrivedAt: number, attempt: number): Promise<void> {
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
      if (status >= 500 && attempt < MAX_ATTEMPTS) {
        const avoid = new Set([...call.avoid, target.target]);
        void this.startAttempt({ ...call, avoid }, arrivedAt, attempt + 1);
      } else this.record(arrivedAt, status);
    });
  }

  private record(arrivedAt: number, status: number): void {
    if (arrivedAt < WARM_UP_MS) return;
    const elapsedMs = this.clock.now() - arrivedAt;
    if (elapsedMs >= CALL_TIMEOUT_MS) {
      this.recordLate();
      return;
    }
    this.calls += 1;
    if (status >= 500) this.errors += 1;
    else this.histogram.recordValue(Math.max(1, Math.round(elapsedMs * MICROSECONDS_PER_MS)));
  }

  private recordLate(): void {
    this.calls += 1;
    this.late += 1;
    this.histogram.recordValue(CALL_TIMEOUT_MS * MICROSECONDS_PER_MS);
  }
}

/** Runs calls at 60% load against 16 targets of 6 slots, with a fault after the warm-up. */
export function runDifferential(options: DifferentialOptions): Promise<DifferentialReport> {
  return new DifferentialRun(options).run();
}
