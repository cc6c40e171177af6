import { type TestFleet } from '../../measure/harness/testFleet';
import { type Random } from '../../src/runtime';

import { FLEET_FAULTS } from './fleetFaults';
import { type StartedFault } from './soakFault';
import { TARGET_FAULTS } from './targetFaults';

const FAULTS = Object.entries({ ...TARGET_FAULTS, ...FLEET_FAULTS });
const SHORTEST_PAUSE_MS = 300;
const PAUSE_RANGE_MS = 1500;
const SHORTEST_FAULT_MS = 500;
const FAULT_RANGE_MS = 4000;

/** Starts random faults that may overlap, and ends each of them. */
export class FaultSchedule {
  private readonly running = new Set<Promise<void>>();

  /** Number of faults by name. */
  readonly counts = new Map<string, number>();

  private started = 0;

  constructor(
    private readonly fleet: TestFleet,
    private readonly targets: readonly string[],
    private readonly random: Random,
    private readonly report: (line: string) => void,
  ) {}

  /** Runs until the monotonic time `until`, and waits for the ends of all faults. */
  async run(until: number): Promise<void> {
    while (performance.now() < until) {
      await this.wait(SHORTEST_PAUSE_MS + this.random.integer(PAUSE_RANGE_MS));
      if (performance.now() >= until) break;
      const fault = this.runFault().finally(() => this.running.delete(fault));
      this.running.add(fault);
    }
    await Promise.all(this.running);
  }

  private async runFault(): Promise<void> {
    const [name, start] = FAULTS[this.random.integer(FAULTS.length)]!;
    const lengthMs = SHORTEST_FAULT_MS + this.random.integer(FAULT_RANGE_MS);
    this.started += 1;
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
    const { fleet, random, targets } = this;
    let fault: StartedFault | null = null;
    try {
      fault = await start({ fleet, random, targets, faultNumber: this.started });
      this.report(`${name}: ${fault.subject}, for ${lengthMs} ms`);
      await this.wait(lengthMs);
    } finally {
      await fault?.end();
    }
  }

  private wait(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, milliseconds);
    });
  }
}
