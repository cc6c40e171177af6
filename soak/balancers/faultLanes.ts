import { SeededRandom } from '../../src/runtime';

import { type BalancerFaultContext } from './balancerFault';
import { type FindingLog } from './findingLog';
import { PROCESS_FAULTS } from './processFaults';
import { SERVER_FAULTS } from './serverFaults';
import { SETTINGS_FAULTS } from './settingsFaults';
import { KEY_FAULTS, SOURCE_FAULTS } from './sourceFaults';

const FAULTS = Object.entries({
  ...PROCESS_FAULTS,
  ...SETTINGS_FAULTS,
  ...SOURCE_FAULTS,
  ...SERVER_FAULTS,
});
// The faults that a seed gives without keys do not depend on those of keys.
const FAULTS_WITH_KEYS = [...FAULTS, ...Object.entries(KEY_FAULTS)];
const MAX_PAUSE_MS = 600;
const LANE_SEED_STEP = 7919;

type LaneContext = Omit<BalancerFaultContext, 'random' | 'note'>;

/** Plays random faults one after the other in several lanes, so that faults of the lanes overlap. */
export class FaultLanes {
  /** Number of faults played, by name. */
  readonly counts = new Map<string, number>();

  constructor(
    private readonly context: LaneContext,
    private readonly findings: FindingLog,
    private readonly seed: number,
  ) {}

  /** Plays faults until the monotonic time `until`; resolves when the last one is over. */
  async run(lanes: number, until: number): Promise<void> {
    await Promise.all(Array.from({ length: lanes }, (_, lane) => this.runLane(lane, until)));
  }

  // A lane has random numbers of its own, so that its faults do not depend on the other lanes.
  private async runLane(lane: number, until: number): Promise<void> {
    const random = new SeededRandom(this.seed * LANE_SEED_STEP + lane);
    const { fleet, sleep } = this.context;
    const faults = fleet.hasKeys() ? FAULTS_WITH_KEYS : FAULTS;
    while (performance.now() < until) {
      await sleep(random.integer(MAX_PAUSE_MS));
      const [name, fault] = faults[random.integer(faults.length)]!;
      this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
      const note = (text: string) => this.findings.note(`${name}: ${text}`);
      await fault({ ...this.context, random, note });
    }
  }
}
