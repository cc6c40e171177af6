import { type OutcomeCheck, checkOutcomes } from '../../measure/harness/checkOutcomes';
import { type LoadResult } from '../../measure/harness/loadResult';
import { runGenerator } from '../../measure/harness/runGenerator';
import { type FleetService, TestFleet } from '../../measure/harness/testFleet';
import { SeededRandom } from '../../src/runtime';
import { type TargetTruth } from '../../standins';

import { FaultSchedule } from './faultSchedule';

const ZONES = ['zone-1', 'zone-2', 'zone-3'];
const GATEWAYS = 5;
const CALLS_PER_SECOND = 150;
const COLD_MS = 500;
const RETRY_AFTER_MS = 300;
// round-sheet receives lookups and updates without an idempotency key, tip-docket receives calls
// with one.
const SERVICES: readonly FleetService[] = [
  { name: 'round-sheet', targets: 6, slots: 6 },
  { name: 'tip-docket', targets: 6, slots: 6 },
];

/** Result of a soak run. */
export interface SoakResult {
  readonly load: LoadResult;
  /** By kind of call. */
  readonly checks: Readonly<Record<string, OutcomeCheck>>;
  readonly faults: ReadonlyMap<string, number>;
}

function startFleet(seed: number): Promise<TestFleet> {
  return TestFleet.start({
    hostZones: Array.from({ length: GATEWAYS }, (_, index) => ZONES[index % ZONES.length]!),
    targetZones: ZONES,
    services: SERVICES,
    targetSettings: { slots: 6, serviceTimeMs: 20, spread: 0.4, coldMs: COLD_MS },
    coldMs: COLD_MS,
    policy: 'owner',
    seed,
  });
}

function checkKinds(
  load: LoadResult,
  truths: readonly TargetTruth[],
): Readonly<Record<string, OutcomeCheck>> {
  const checks: Record<string, OutcomeCheck> = {};
  for (const kind of Object.keys(load.phases.soak ?? {})) {
    const reports = load.reports.filter(([, , reported]) => reported === kind);
    checks[kind] = checkOutcomes(reports, truths, () => kind === 'lookup');
  }
  return checks;
}

/** Runs real gateways and target stand-ins under random faults, and checks their records. */
export async function runSoak(
  seed: number,
  minutes: number,
  report: (line: string) => void,
): Promise<SoakResult> {
  const fleet = await startFleet(seed);
  try {
    const seconds = minutes * 60;
    const targets = SERVICES.flatMap(({ name, targets: count }) =>
      Array.from({ length: count }, (_, index) => `${name}-${index + 1}`),
    );
    const schedule = new FaultSchedule(fleet, targets, new SeededRandom(seed), report);
    const [load] = await Promise.all([
      runGenerator({
        seed,
        runId: `soak-${seed}`,
        baseUrls: fleet.baseUrls,
        phases: [{ name: 'soak', seconds, callsPerSecond: CALLS_PER_SECOND }],
        kinds: [
          { name: 'lookup', weight: 4, method: 'GET', path: '/round-sheet/l', isKeyed: false },
          { name: 'update', weight: 1, method: 'POST', path: '/round-sheet/u', isKeyed: false },
          { name: 'docket', weight: 2, method: 'POST', path: '/tip-docket/d', isKeyed: true },
        ],
        timeoutMs: 2000,
        retryUnknownAfterMs: RETRY_AFTER_MS,
      }),
      schedule.run(performance.now() + seconds * 1000),
    ]);
    return { load, checks: checkKinds(load, await fleet.truth()), faults: schedule.counts };
  } finally {
    await fleet.stop();
  }
}
