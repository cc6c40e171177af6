import { type ModelOptions } from '../../standins/fleet';

import { NetworkedFleet } from './networkedFleet';
import { type TargetReturn, targetReturn } from './targetReturn';
import { type LeavingFigures } from './wishRecords';

const ZONES = ['a', 'b', 'c', 'd', 'e'];
// Services with as many targets as the fleet has hosts, and with one target in each zone.
const LARGE = 'large';
const SMALL = 'small';
/** Calls that a target runs at the same time. */
export const SLOTS = 6;
const WORK_MS = 100;
// Calls come from the first time on, and make the usual rate from the second on.
const CALLS_AT_MS = 3000;
const USUAL_FROM_MS = 4000;
const WISHES_AT_MS = 8000;
const QUIET_MS = 3000;
const QUIET_END_MS = WISHES_AT_MS + QUIET_MS;
const SECOND_MS = 1000;
const DOWN_MS = 300;
const TARGETS_FOR_A_QUIET_ONE = 8;
const HOSTS_FOR_A_RESTART = 6;

/** What happens beside the wishes of targets. */
export interface WishScenario {
  readonly size: number;
  readonly seed: number;
  /** Share of the capacity that the calls take. */
  readonly load: number;
  /** Share of the datagrams between hosts that are lost. */
  readonly lossRatio: number;
  /** Whether hosts restart, one after the other. */
  readonly hasRestarts: boolean;
  /** Whether the store answers nothing from just before the wishes on. */
  readonly isStoreAway: boolean;
  /** Whether hosts tell each other which targets are leaving. */
  readonly hasNotices: boolean;
  /** Seconds after the end of the time without calls for which the return is observed. */
  readonly returnSeconds: readonly number[];
}

/** Figures of one run. */
export interface WishReport {
  readonly violations: readonly string[];
  /** Calls that reached the leaving target after the first host knew of it. */
  readonly leaving: LeavingFigures;
  /** Share of the calls to the large service that were answered within their objective. */
  readonly inTimeShare: number;
  /** Targets that ask for no calls while others of their service do not. */
  readonly someQuiet: TargetReturn;
  /** All targets of a service, which ask for no calls until the same moment. */
  readonly allQuiet: TargetReturn;
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}

function deployment({ size, load }: WishScenario): Omit<ModelOptions, 'seed'> {
  const zones = ZONES.slice(0, size > 200 ? 5 : 3);
  const perZone = zones.map((_, index) => Math.ceil((size - index) / zones.length));
  const service = (name: string, targets: readonly number[]) => ({
    ...{ name, targets, slots: SLOTS, queueLimit: 24, whenFull: 'refuse' as const },
    ...{ kneeFactor: 1, kneeShare: 1, noise: { share: 0.1, factor: 3, everyMs: 500 } },
  });
  const kind = (name: string, targets: readonly number[]) => ({
    ...{ name, service: name, workMs: WORK_MS, objectiveMs: 250, timeLimitMs: 1200 },
    ...{ isIdempotent: true, priority: 1, retries: 1 },
    perSecond: (sum(targets) * SLOTS * load * SECOND_MS) / WORK_MS,
  });
  const sizes = { [LARGE]: perZone, [SMALL]: zones.map(() => 1) };
  return {
    ...{ zones, hosts: perZone, disturbances: [], seconds: 0, policy: 'product' as const },
    services: Object.entries(sizes).map(([name, targets]) => service(name, targets)),
    kinds: Object.entries(sizes).map(([name, targets]) => kind(name, targets)),
  };
}

// The first target leaves; of the last zones one each asks for quiet.
function chooseTargets(fleet: NetworkedFleet, zones: readonly string[]) {
  const all = [...fleet.targets.values()];
  const large = all.filter(({ target }) => target.service === LARGE);
  const quietCount = Math.max(1, Math.floor(large.length / TARGETS_FOR_A_QUIET_ONE));
  const someQuiet = zones
    .slice(-quietCount)
    .map((zone) => large.findLast(({ target }) => target.zone === zone)!);
  const allQuiet = all.filter(({ target }) => target.service === SMALL);
  return { leaving: large[0]!, someQuiet, allQuiet };
}

function restartHosts(fleet: NetworkedFleet, size: number): void {
  const count = Math.ceil(size / HOSTS_FOR_A_RESTART);
  const gapMs = QUIET_MS / count;
  for (let number = 0; number < count; number += 1) {
    fleet.clock.setTimer(WISHES_AT_MS + gapMs * (number + fleet.random.next()), () => {
      const hosts = fleet.liveHosts();
      fleet.restart(hosts[fleet.random.integer(hosts.length)]!, DOWN_MS);
    });
  }
}

/** Plays a target that leaves and targets that ask for quiet beside disturbances of the hosts. */
export async function playWishes(scenario: WishScenario): Promise<WishReport> {
  const { size, seed, hasNotices, returnSeconds } = scenario;
  const options = deployment(scenario);
  const fleet = new NetworkedFleet({ ...options, seed, hasNotices });
  const endMs = QUIET_END_MS + Math.max(...returnSeconds) * SECOND_MS;
  await fleet.advanceTo(CALLS_AT_MS);
  fleet.startCallers(endMs);
  await fleet.advanceTo(USUAL_FROM_MS);
  fleet.network.lossRatio = scenario.lossRatio;
  fleet.network.pullLossRatio = scenario.lossRatio;
  await fleet.advanceTo(WISHES_AT_MS - DOWN_MS);
  if (scenario.isStoreAway) fleet.source.modeOf = () => 'silent';
  await fleet.advanceTo(WISHES_AT_MS);
  const { leaving, someQuiet, allQuiet } = chooseTargets(fleet, options.zones);
  leaving.isLeaving = true;
  for (const target of [...someQuiet, ...allQuiet]) target.quietUntil = QUIET_END_MS;
  if (scenario.hasRestarts) restartHosts(fleet, size);
  await fleet.advanceTo(endMs);
  const { records } = fleet;
  const times = {
    ...{ usualFrom: USUAL_FROM_MS, usualTo: WISHES_AT_MS },
    ...{ end: QUIET_END_MS, seconds: returnSeconds },
  };
  return {
    violations: records.violations(),
    leaving: records.afterLeaving(leaving.target.id),
    inTimeShare: fleet.inTimeShare(LARGE),
    someQuiet: targetReturn(records, someQuiet, times),
    allQuiet: targetReturn(records, allQuiet, times),
  };
}
