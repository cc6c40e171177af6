import { eraOf } from '../../src/catalog';

import { SimulatedFleet } from './simulatedFleet';

const LOST = 57;
const GRACE_MS = 2300;
const seeds = process.env.SEED?.split(',').map(Number) ?? [1, 2, 3];
const RUNS = [2, 4].flatMap((size) => seeds.map((seed) => [size, seed] as const));

const SIZE = 4;
const ZONES = 2;

/** The smallest number of targets that a live host had during this time. */
async function leastTargets(fleet: SimulatedFleet, milliseconds: number): Promise<number> {
  const end = fleet.clock.now() + milliseconds;
  let least = Infinity;
  while (fleet.clock.now() < end) {
    await fleet.network.advance(10);
    for (const { ledger } of fleet.network.liveHosts())
      least = Math.min(least, ledger.catalog().targets.size);
  }
  return least;
}

function erasOf(fleet: SimulatedFleet): readonly number[] {
  return fleet.network.liveHosts().map(({ ledger }) => eraOf(ledger.catalog().asOf));
}

function expectEqualCatalogs(fleet: SimulatedFleet): void {
  const states = fleet.network
    .liveHosts()
    .map(({ ledger }) => [ledger.catalog().asOf, ledger.newestRevision(), ledger.fingerprint()]);
  for (const state of states) expect(state).toEqual(states[0]);
}

describe('a source that is restored from an older copy', () => {
  // Guards against a mass removal (case e): a target that started meanwhile is kept for the grace period, and
  // removed on all hosts when it was not written again; against hosts that read beside the readers.
  it.each(RUNS)(
    'keeps lost targets for the grace period, %d hosts, seed %d',
    async (size, seed) => {
      const fleet = new SimulatedFleet(size, ZONES, seed);
      await fleet.network.advance(4000);
      const copy = fleet.source.newestRevision();
      fleet.startTarget('lost', 5);
      fleet.startTarget('written-again', 5);
      await fleet.network.advance(500);
      const readers = [...fleet.readers()].sort();
      fleet.source.wholeReads.clear();
      fleet.source.restore(copy);
      expect(await leastTargets(fleet, 1500)).toBe(62);
      fleet.startTarget('written-again', 5);
      expect(await leastTargets(fleet, GRACE_MS - 1500 - 100)).toBe(62);
      await fleet.network.advance(1500);
      for (const { ledger } of fleet.network.liveHosts()) {
        expect(ledger.catalog().targets.has('lost')).toBe(false);
        expect(ledger.catalog().targets.has('written-again')).toBe(true);
      }
      expect(new Set(erasOf(fleet))).toEqual(new Set([1]));
      expectEqualCatalogs(fleet);
      expect([...fleet.source.wholeReads.keys()].sort()).toEqual(readers);
      for (const reads of fleet.source.wholeReads.values()) expect(reads).toBeLessThanOrEqual(2);
    },
  );

  // Guards against a target that is gone for good and comes back with the copy (case e).
  it.each(RUNS)('does not bring back removed targets, %d hosts, seed %d', async (size, seed) => {
    const fleet = new SimulatedFleet(size, ZONES, seed);
    await fleet.network.advance(4000);
    const copy = fleet.source.newestRevision();
    fleet.removeTarget(LOST);
    await fleet.network.advance(1000);
    expect(fleet.holdersOf(LOST)).toEqual([]);
    fleet.source.restore(copy);
    for (let step = 0; step < 500; step += 1) {
      await fleet.network.advance(10);
      expect(fleet.holdersOf(LOST)).toEqual([]);
    }
    fleet.changeTarget(LOST);
    await fleet.network.advance(2000);
    expect(fleet.holdersOf(LOST)).toHaveLength(size);
  });

  // Guards against a configuration in force that is reverted (case e), and one that is lost for good: hosts
  // must have proofs and take the next one.
  it.each(RUNS)('does not revert the configuration, %d hosts, seed %d', async (size, seed) => {
    const fleet = new SimulatedFleet(size, ZONES, seed, true);
    await fleet.network.advance(4000);
    const copy = fleet.source.newestRevision();
    fleet.publishConfiguration(2);
    await fleet.network.advance(1000);
    fleet.source.restore(copy);
    for (let step = 0; step < 600; step += 1) {
      await fleet.network.advance(10);
      expect(fleet.behind(2)).toEqual([]);
      for (const host of fleet.network.liveHosts()) expect(host.freshness.mayUseKeys()).toBe(true);
    }
    fleet.publishConfiguration(3);
    await fleet.network.advance(1500);
    expect(fleet.behind(3)).toEqual([]);
  });

  // Guards against a zone that is back in service until its operator takes it out again (case e).
  it.each(RUNS)('keeps a zone out of service, %d hosts, seed %d', async (size, seed) => {
    const fleet = new SimulatedFleet(size, ZONES, seed);
    await fleet.network.advance(4000);
    const copy = fleet.source.newestRevision();
    fleet.source.publish('out/a', { kind: 'zoneOut', zone: 'a' });
    await fleet.network.advance(500);
    const hostsWithZoneOut = () =>
      fleet.network.liveHosts().filter(({ ledger }) => ledger.factOf('out/a') !== null).length;
    expect(hostsWithZoneOut()).toBe(size);
    fleet.source.restore(copy);
    for (let step = 0; step < 200; step += 1) {
      await fleet.network.advance(10);
      expect(hostsWithZoneOut()).toBe(size);
    }
    await fleet.network.advance(3000);
    expect(hostsWithZoneOut()).toBe(0);
  });

  // Guards against a host that keeps the old era because its revisions look newer (case d).
  it.each(seeds)('reaches a host that returns from a partition, seed %d', async (seed) => {
    const fleet = new SimulatedFleet(SIZE, ZONES, seed);
    await fleet.network.advance(4000);
    const copy = fleet.source.newestRevision();
    for (let change = 0; change < 20; change += 1) fleet.changeAnyTarget();
    fleet.startTarget('lost', 5);
    await fleet.network.advance(1000);
    const isAway = (id: string) => id === 'host-3';
    fleet.network.isCut = (from, to) => isAway(from.id) !== isAway(to.id);
    fleet.source.modeOf = (id) => (isAway(id) ? 'silent' : 'answers');
    fleet.source.restore(copy);
    fleet.changeAnyTarget();
    await fleet.network.advance(6000);
    const away = fleet.network.hosts.get('host-3')!;
    expect(eraOf(away.ledger.newestRevision())).toBe(0);
    fleet.network.isCut = () => false;
    await fleet.network.advance(1500);
    expect(eraOf(away.ledger.catalog().asOf)).toBe(1);
    fleet.source.modeOf = () => 'answers';
    await fleet.network.advance(6000);
    expectEqualCatalogs(fleet);
    for (const { ledger } of fleet.network.liveHosts())
      expect(ledger.catalog().targets.has('lost')).toBe(false);
  });

  // Guards against a grace period that a second restore or another reader ends early (case f).
  it.each(seeds)('keeps targets over two rises while the readers die, seed %d', async (seed) => {
    const fleet = new SimulatedFleet(6, ZONES, seed);
    await fleet.network.advance(4000);
    const copy = fleet.source.newestRevision();
    fleet.startTarget('lost', 5);
    await fleet.network.advance(500);
    const readers = fleet.readers();
    fleet.source.restore(copy);
    expect(await leastTargets(fleet, 300 + fleet.random.integer(400))).toBe(61);
    for (const id of readers) fleet.network.kill(id);
    fleet.source.restore(copy + 2 ** 32);
    expect(await leastTargets(fleet, GRACE_MS - 100)).toBe(61);
    await fleet.network.advance(8000);
    expect(new Set(erasOf(fleet))).toEqual(new Set([2]));
    expectEqualCatalogs(fleet);
    for (const { ledger } of fleet.network.liveHosts())
      expect(ledger.catalog().targets.has('lost')).toBe(false);
  });

  // Guards against a burst of reads of the priced store when a large fleet notices the restore.
  it.each([
    [129, 3],
    [312, 5],
  ])(
    'is read by the readers only, %d hosts in %d zones',
    async (size, zones) => {
      const fleet = new SimulatedFleet(size, zones, 1, true);
      await fleet.network.advance(5000);
      const copy = fleet.source.newestRevision();
      fleet.startTarget('lost', 5);
      await fleet.network.advance(2000);
      const readers = [...fleet.readers()].sort();
      fleet.source.wholeReads.clear();
      const { requests, confirmations } = fleet.source;
      fleet.source.restore(copy);
      expect(await leastTargets(fleet, 2000)).toBe(61);
      await fleet.network.advance(3000);
      expect([...fleet.source.wholeReads.keys()].sort()).toEqual(readers);
      const calls = fleet.source.requests - requests;
      const confirmed = fleet.source.confirmations - confirmations;
      if (process.env.PRINT_CALLS !== undefined)
        process.stdout.write(`${size} hosts: ${calls} calls, ${confirmed} confirmations in 5 s\n`);
      // Measured: 8 calls by each reader, of which 5 are confirmations.
      expect(calls).toBeLessThanOrEqual(10 * zones);
      for (const host of fleet.network.liveHosts()) {
        expect(host.ledger.catalog().targets.has('lost')).toBe(false);
        expect(host.freshness.mayUseKeys()).toBe(true);
      }
    },
    120_000,
  );
});
