import { type KindReport } from '../../standins/fleet';

import { CALM_LOADS, type CalmSize } from './calmLoads';
import { type CausesOfKind, LateCallCauses } from './lateCallCauses';
import { NetworkedFleet } from './networkedFleet';

const SECOND_MS = 1000;
// Calls come once the hosts know each other.
const CALLS_AT_MS = 4000;
const WARM_UP_MS = 2000;
// Time for the last calls to end.
const DRAIN_MS = 2000;

/** A fleet under normal load. */
export interface CalmScenario extends CalmSize {
  /** By default `even`. */
  readonly load?: keyof typeof CALM_LOADS;
  readonly seed: number;
  readonly seconds: number;
  /** Time of calls before they are counted; by default until connections are open. */
  readonly warmUpMs?: number;
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
  /** Why calls were late, by kind. */
  readonly causes: ReadonlyMap<string, CausesOfKind>;
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}

function busiestToMean(callsByTarget: ReadonlyMap<string, number>, fleet: NetworkedFleet): number {
  const services = new Set([...fleet.targets.values()].map(({ target }) => target.service));
  const ratios = [...services].map((service) => {
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
  const deployment = CALM_LOADS[scenario.load ?? 'even'](scenario);
  const countedFromMs = CALLS_AT_MS + (scenario.warmUpMs ?? WARM_UP_MS);
  const causes = new LateCallCauses(countedFromMs);
  const fleet = new NetworkedFleet({
    ...deployment,
    ...{ seed: scenario.seed, hasNotices: true, observer: causes },
  });
  await fleet.advanceTo(CALLS_AT_MS);
  scenario.disturb?.(fleet);
  const end = countedFromMs + scenario.seconds * SECOND_MS;
  fleet.startCallers(end);
  await fleet.advanceTo(countedFromMs);
  const before = totalsOf(fleet);
  await fleet.advanceTo(end);
  const after = totalsOf(fleet);
  await fleet.advanceTo(end + DRAIN_MS);
  const outcomes = totalsOf(fleet).kinds;
  const count = (name: keyof KindReport) =>
    sum(outcomes.map((kind) => kind[name])) - sum(before.kinds.map((kind) => kind[name]));
  const calls = count('calls');
  const arrivals = fleet.records.all(countedFromMs, end);
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
    causes: causes.byKind,
  };
}
