import { type KindReport, type ModelOptions } from '../../standins/fleet';

import { NetworkedFleet } from './networkedFleet';

const ZONES = ['a', 'b', 'c'];
const CALLS_PER_HOST_AND_SECOND = 6.5;
const UTILIZATION = 0.2;
const WORK_MS: Readonly<Record<string, number>> = { lookup: 70, order: 80, sale: 90 };
const OBJECTIVE_MS = 230;
// Slowdown of a target while all of its slots are in use.
const KNEE_FACTOR = 1.3;
const SECOND_MS = 1000;
// Calls come once the hosts know each other, and are counted once connections are open.
const CALLS_AT_MS = 4000;
const COUNTED_FROM_MS = 6000;
// Time for the last calls to end.
const DRAIN_MS = 2000;

/** A fleet under normal load. */
export interface CalmScenario {
  readonly hostsPerZone: number;
  readonly slots: number;
  readonly seed: number;
  readonly seconds: number;
  /** Changes the fleet before the calls begin. */
  readonly disturb?: (fleet: NetworkedFleet) => void;
}

/** Figures of one run. */
export interface CalmReport {
  readonly calls: number;
  /** Shares of the calls that were answered after their objective, and that were not answered. */
  readonly late: number;
  readonly unserved: number;
  /** Refusals of hosts, from the first call on, of which callers retry some. */
  readonly refusals: number;
  /** Calls at the busiest target of each service against the mean, on average. */
  readonly busiestToMean: number;
  /** Share of the attempts that found another call at their target. */
  readonly shared: number;
  /** New connections for each call. */
  readonly connections: number;
  /** Datagrams and bytes a second and host. */
  readonly datagrams: number;
  readonly bytes: number;
}

function deployment(scenario: CalmScenario): Omit<ModelOptions, 'seed'> {
  const { hostsPerZone, slots } = scenario;
  const kinds = Object.entries(WORK_MS);
  const perSecondInZone = (CALLS_PER_HOST_AND_SECOND * hostsPerZone) / kinds.length;
  const targetsFor = (workMs: number) =>
    Math.max(1, Math.round((perSecondInZone * workMs) / (SECOND_MS * UTILIZATION * slots)));
  return {
    ...{ zones: ZONES, hosts: ZONES.map(() => hostsPerZone), disturbances: [] },
    ...{ seconds: 0, policy: 'product' as const },
    services: kinds.map(([name, workMs]) => ({
      ...{ name, slots, targets: ZONES.map(() => targetsFor(workMs)), queueLimit: 6 },
      ...{ whenFull: 'refuse' as const, kneeFactor: KNEE_FACTOR, kneeShare: slots === 1 ? 1 : 0.8 },
      noise: { share: 0.25, factor: 7, everyMs: 500 },
    })),
    kinds: kinds.map(([name, workMs]) => ({
      ...{ name, service: name, workMs, objectiveMs: OBJECTIVE_MS, timeLimitMs: 1200 },
      ...{ isIdempotent: true, priority: 1, retries: 1 },
      perSecond: perSecondInZone * ZONES.length,
    })),
  };
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}

function busiestToMean(callsByTarget: ReadonlyMap<string, number>, fleet: NetworkedFleet): number {
  const ratios = Object.keys(WORK_MS).map((service) => {
    const counts = [...fleet.targets.values()]
      .filter(({ target }) => target.service === service)
      .map(({ target }) => callsByTarget.get(target.id) ?? 0);
    return Math.max(...counts) / (sum(counts) / counts.length);
  });
  return sum(ratios) / ratios.length;
}

interface Totals {
  readonly connections: number;
  readonly bytes: number;
  readonly datagrams: number;
  readonly kinds: readonly KindReport[];
}

function totalsOf(fleet: NetworkedFleet): Totals {
  const hosts = fleet.network.liveHosts();
  return {
    connections: fleet.openedConnections(),
    bytes: sum(hosts.map(({ sentBytes }) => sentBytes)),
    datagrams: sum(hosts.map(({ sentDatagrams }) => sentDatagrams)),
    kinds: Object.values(fleet.outcomes()).map((kind) => ({ ...kind })),
  };
}

/** Plays normal load on targets with few slots, whose pace changes, and returns its figures. */
export async function playCalm(scenario: CalmScenario): Promise<CalmReport> {
  const fleet = new NetworkedFleet({
    ...deployment(scenario),
    ...{ seed: scenario.seed, hasNotices: true },
  });
  await fleet.advanceTo(CALLS_AT_MS);
  scenario.disturb?.(fleet);
  const end = COUNTED_FROM_MS + scenario.seconds * SECOND_MS;
  fleet.startCallers(end);
  await fleet.advanceTo(COUNTED_FROM_MS);
  const before = totalsOf(fleet);
  await fleet.advanceTo(end);
  const after = totalsOf(fleet);
  await fleet.advanceTo(end + DRAIN_MS);
  const outcomes = totalsOf(fleet).kinds;
  const count = (name: keyof KindReport) =>
    sum(outcomes.map((kind) => kind[name])) - sum(before.kinds.map((kind) => kind[name]));
  const calls = count('calls');
  const arrivals = fleet.records.all(COUNTED_FROM_MS, end);
  const callsByTarget = new Map<string, number>();
  for (const { target } of arrivals)
    callsByTarget.set(target, (callsByTarget.get(target) ?? 0) + 1);
  const hostSeconds = fleet.liveHosts().length * scenario.seconds;
  return {
    calls,
    late: count('late') / calls,
    unserved: count('unserved') / calls,
    refusals: fleet.refusals,
    busiestToMean: busiestToMean(callsByTarget, fleet),
    shared: arrivals.filter(({ load }) => load > 1).length / arrivals.length,
    connections: (after.connections - before.connections) / calls,
    datagrams: (after.datagrams - before.datagrams) / hostSeconds,
    bytes: (after.bytes - before.bytes) / hostSeconds,
  };
}
