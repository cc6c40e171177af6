import { type TestFleet } from '../../measure/harness/testFleet';
import { type Random } from '../../src/runtime';

import { FLEET_FAULTS } from './fleetFaults';
import { type StartedFault } from './soakFault';
import { TARGET_FAULTS } from './targetFaults';

const FAULTS = Object.entries({ ...TARGET_FAULTS, ...FLEET_FAULTS });
const MIN_PAUSE_MS = 300;
const PAUSE_RANGE_MS = 1500;
const MIN_FAULT_MS = 500;
const FAULT_RANGE_MS = 4000;

/** Injects random faults, which may overlap, and ends each of them. */
export class FaultSchedule {
  private readonly runningFaults = new Set<Promise<void>>();

  /** Number of faults by name. */
  readonly counts = new Map<string, number>();

  private startedCount = 0;

  constructor(
    private readonly fleet: TestFleet,
    private readonly targets: readonly string[],
    private readonly random: Random,
    private readonly report: (line: string) => void,
  ) {}

  /** Injects faults until the monotonic time `until`, then waits until all faults have ended. */
  async run(until: number): Promise<void> {
    while (performance.now() < until) {
      await this.delay(MIN_PAUSE_MS + this.random.integer(PAUSE_RANGE_MS));
      if (performance.now() >= until) break;
      const fault = this.runFault().finally(() => this.runningFaults.delete(fault));
      this.runningFaults.add(fault);
    }
    await Promise.all(this.runningFaults);
  }

  private async runFault(): Promise<void> {
    const [name, start] = FAULTS[this.random.integer(FAULTS.length)]!;
    const lengthMs = MIN_FAULT_MS + this.random.integer(FAULT_RANGE_MS);
    this.startedCount += 1;
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
    const { fleet, random, targets } = this;
    let fault: StartedFault | null = null;
    try {
      fault = await start({ fleet, random, targets, faultNumber: this.startedCount });
      this.report(`${name}: ${fault.subject}, for ${lengthMs} ms`);
      await this.delay(lengthMs);
    } finally {
      await fault?.end();
    }
  }

  private delay(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, milliseconds);
    });
  }
}
