import { createWriteStream } from 'node:fs';
import { join } from 'node:path';
import { monitorEventLoopDelay } from 'node:perf_hooks';

import { type Random, SeededRandom } from '../../src/runtime';
import { type CallerHabits, KeptCaller } from '../../test/support/keptCaller';

import { type CallRecords } from './callRecords';
import { checkCalls, REVOCATION_MS } from './checkCalls';
import { checkWishes } from './checkWishes';
import { FaultLanes } from './faultLanes';
import { FindingLog } from './findingLog';
import { ReadinessWatch } from './readinessWatch';
import { SoakFleet } from './soakFleet';
import { SoakHost } from './soakHost';
import { SoakKeys } from './soakKeys';

const GRACE_S = 4;
// A calm host has caught up within 4 s; it counts as calm 3 s after its last disruption.
const READY_BOUND_MS = 7000;
// Calls of this time before the end show that the hosts serve again.
const RECOVERED_MS = 1500;
const RECOVERED_SHARE = 0.25;
const SERVERS_PER_SERVICE = 3;
const CALLERS_PER_HABIT = 4;
const HOSTS_PER_CALLER = 2;
const LANES = 4;
const HOSTS_PER_LANE = 6;

const HABITS: readonly CallerHabits[] = [
  { batch: 1, waitsForAnswers: true, heedsClose: true, isIdempotent: false },
  { batch: 1, waitsForAnswers: true, heedsClose: false, isIdempotent: false },
  { batch: 1, waitsForAnswers: true, heedsClose: false, isIdempotent: true },
  { batch: 2, waitsForAnswers: true, heedsClose: true, isIdempotent: true },
  { batch: 3, waitsForAnswers: false, heedsClose: true, isIdempotent: true },
  { batch: 2, waitsForAnswers: false, heedsClose: false, isIdempotent: true },
];

/** Options of a soak run with faults. */
export interface FaultSoakOptions {
  readonly seed: number;
  readonly hosts: number;
  /** Time in which faults begin. */
  readonly faultMs: number;
  /**
   * Age in milliseconds from which a process gets signals other than SIGKILL and SIGSTOP, if it has not
   * written anything before.
   */
  readonly signalAfterMs: number;
  /** Whether the configuration has tenants, whose keys some callers use and some of which are withdrawn. */
  readonly hasKeys: boolean;
  /** Arguments of Node.js for each host; null for the program as built. */
  readonly command: readonly string[] | null;
  /** Folder for the output of the processes, a file for each seed and host; null for none. */
  readonly outputFolder: string | null;
}

/** Result of a soak run with faults. */
export interface FaultSoakResult {
  readonly log: FindingLog;
  /** Number of faults played, by name. */
  readonly faults: ReadonlyMap<string, number>;
  readonly calls: number;
  readonly runs: number;
  readonly succeeded: number;
  /** Longest time until a process was ready, in milliseconds. */
  readonly slowestReadyMs: number;
  /** Longest delay of the event loop of callers, store and servers, in milliseconds. */
  readonly slowestTurnMs: number;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

function createCallers(
  fleet: SoakFleet,
  { seed, hosts }: FaultSoakOptions,
  keys: SoakKeys | null,
): readonly KeptCaller[] {
  const count = Math.max(CALLERS_PER_HABIT, Math.ceil(hosts / HOSTS_PER_CALLER));
  const keyed = HABITS.map((habits) => ({
    ...habits,
    pickKey: (random: Random) => keys!.pick(random),
  }));
  const allHabits = keys === null ? HABITS : [...HABITS, ...keyed];
  return allHabits.flatMap((habits, habit) =>
    Array.from({ length: count }, (_, index) => {
      const name = `c${habit}-${index}`;
      const random = new SeededRandom(seed * 1000 + habit * count + index);
      return new KeptCaller(name, habits, fleet.callerAddresses(), random);
    }),
  );
}

async function untilReady(hosts: readonly SoakHost[]): Promise<void> {
  const deadline = performance.now() + READY_BOUND_MS;
  const isReady = () => hosts.every(({ life }) => life?.wasReady);
  while (!isReady() && performance.now() < deadline) await sleep(100);
}

function checkRecovery({ calls }: CallRecords, since: number, findings: FindingLog): void {
  const late = calls.filter(({ sentAt }) => sentAt > since);
  const served = late.filter(({ answer }) => answer?.status === 200);
  if (late.length > 0 && served.length >= late.length * RECOVERED_SHARE) return;
  findings.add('RECOVER', `${served.length} of ${late.length} calls served after the last fault`);
}

/** Runs real processes, which callers use, under random faults, and checks the rules. */
export async function runFaultSoak(options: FaultSoakOptions): Promise<FaultSoakResult> {
  const { seed, faultMs, signalAfterMs, command, outputFolder } = options;
  const log = new FindingLog();
  const turns = monitorEventLoopDelay();
  turns.enable();
  const keys = options.hasKeys ? new SoakKeys() : null;
  const settings = {
    ...{ 'stop-grace-s': String(GRACE_S), 'revocation-ms': String(REVOCATION_MS) },
    'strict-revocation': String(options.hasKeys),
  };
  const zones = ['a', 'b', 'c'];
  const fleet = new SoakFleet({
    ...{
      hosts: options.hosts,
      serversPerService: SERVERS_PER_SERVICE,
      zones,
      settings,
      command,
      keys,
    },
  });
  const hosts: SoakHost[] = [];
  const callers: KeptCaller[] = [];
  const watch = new ReadinessWatch(hosts, READY_BOUND_MS, log);
  try {
    await fleet.start();
    for (const balancer of fleet.balancers) {
      const name = `seed-${seed}-${balancer.settings['host-id']}.log`;
      const file = outputFolder && join(outputFolder, name);
      const copy = file === null ? null : createWriteStream(file);
      hosts.push(new SoakHost(balancer, GRACE_S * 1000, log, copy));
    }
    for (const host of hosts) host.start();
    const watching = watch.run();
    await untilReady(hosts);
    for (const { balancer } of hosts) {
      balancer.settings['first-start'] = 'false';
      balancer.writeSettings(balancer.markedSettings());
    }
    callers.push(...createCallers(fleet, options, keys));
    const calling = callers.map((caller) => caller.run());
    const lanes = new FaultLanes({ fleet, hosts, signalAfterMs, sleep }, log, seed);
    await lanes.run(LANES + Math.floor(hosts.length / HOSTS_PER_LANE), performance.now() + faultMs);
    await untilReady(hosts);
    const calmSince = performance.now();
    await sleep(RECOVERED_MS);
    for (const caller of callers) caller.end();
    await Promise.all(calling);
    watch.end();
    await watching;
    await Promise.all(hosts.map((host) => host.end()));
    turns.disable();
    const records: CallRecords = {
      calls: callers.flatMap(({ calls }) => calls),
      arrivals: [...fleet.platform.servers].flatMap(([server, { arrivals }]) =>
        arrivals.map((arrival) => ({ ...arrival, server, service: fleet.serviceOf(server) })),
      ),
      hosts,
      keys: keys?.lives ?? new Map(),
    };
    checkCalls(records, log);
    checkWishes(records, log);
    for (const [server, { received }] of fleet.platform.servers)
      for (const { id, headers } of received)
        if (headers.some(([name]) => name === 'authorization'))
          log.add('LEAKED', `${id} reached ${server} with a key`);
    checkRecovery(records, calmSince, log);
    for (const { brokenConnections } of callers)
      if (brokenConnections > 0)
        log.add('MIXED', `${brokenConnections} connections with other bytes`);
    return {
      ...{ log, faults: lanes.counts, calls: records.calls.length },
      runs: records.arrivals.filter(({ outcome }) => outcome === 'ran').length,
      succeeded: records.calls.filter(({ answer }) => answer?.status === 200).length,
      slowestTurnMs: Math.round(turns.max / 1e6),
      slowestReadyMs: Math.round(watch.slowestMs),
    };
  } finally {
    for (const caller of callers) caller.end();
    watch.end();
    for (const host of hosts) host.abandon();
    await fleet.close();
  }
}
