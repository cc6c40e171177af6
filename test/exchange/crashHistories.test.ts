import { CRASHES_TO_REFUSE } from '../../src/suspects';

import { SimulatedFleet } from './simulatedFleet';

const CALL = 'digest:0';
// Time after which a host that was started or cut off must know what the others do.
const STABILITY_MS = 3000;
const SIZES = [
  [6, 3],
  [17, 3],
  [113, 3],
  [312, 5],
] as const;
const SEEDS = (process.env.SEED ?? '1,2').split(',').map(Number);
const RUNS = SIZES.flatMap(([size, zones]) => SEEDS.map((seed) => [size, zones, seed] as const));
// In the last two, a host that is cut off is the only one that knows of some of the crashes.
const CUT_OFF_RUNS = [
  ...RUNS.filter(([size]) => size <= 113),
  ...(process.env.SEED === undefined ? [5, 7].map((seed) => [113, 3, seed] as const) : []),
];

/** Each crash is noticed by one host, which tells the others. */
function recordCrashes(fleet: SimulatedFleet): void {
  for (let crash = 0; crash < CRASHES_TO_REFUSE; crash += 1) {
    const hosts = fleet.network.liveHosts();
    const { crashTable, exchange } = hosts[fleet.random.integer(hosts.length)]!;
    exchange.broadcastNotices({ crashes: [crashTable.record(CALL, `i-${crash} 1`)] });
  }
}

function unaware(fleet: SimulatedFleet, crashes: number): readonly string[] {
  return fleet.network
    .liveHosts()
    .filter(({ crashTable }) => crashTable.count(CALL) !== crashes)
    .map(({ address }) => address.id);
}

describe('a call that is known to crash targets', () => {
  // Guards against restarted hosts that pass it on again, since they know none of its crashes.
  it.each(RUNS)(
    'is known to restarted hosts: %d hosts in %d zones, seed %d',
    async (size, zones, seed) => {
      const fleet = new SimulatedFleet(size, zones, seed);
      await fleet.network.advance(4000);
      recordCrashes(fleet);
      await fleet.network.advance(500);
      fleet.network.lossRatio = 0.1;
      const ids = [...fleet.network.hosts.keys()].slice(0, 12);
      for (const id of ids) {
        fleet.network.kill(id);
        await fleet.network.advance(200);
        fleet.restart(id);
        await fleet.network.advance(300);
      }
      await fleet.network.advance(STABILITY_MS);
      expect(unaware(fleet, CRASHES_TO_REFUSE)).toEqual([]);
    },
    120_000,
  );

  // Guards against hosts that stay without what was broadcast while they were cut off, in a fleet and
  // in one whose hosts then learn that the call was answered.
  it.each(CUT_OFF_RUNS)(
    'is known to hosts that were cut off: %d hosts in %d zones, seed %d',
    async (size, zones, seed) => {
      const fleet = new SimulatedFleet(size, zones, seed);
      await fleet.network.advance(4000);
      const isCutOff = (id: string) => Number(id.split('-')[1]) % 5 === 0;
      fleet.network.isCut = (from, to) => isCutOff(from.id) || isCutOff(to.id);
      recordCrashes(fleet);
      await fleet.network.advance(2000);
      fleet.network.isCut = () => false;
      await fleet.network.advance(STABILITY_MS);
      const missing = unaware(fleet, CRASHES_TO_REFUSE);
      fleet.network.isCut = (from, to) => isCutOff(from.id) || isCutOff(to.id);
      const { crashTable, exchange } = fleet.network.hosts.get('host-1')!;
      exchange.broadcastNotices({ crashes: [crashTable.clear(CALL)] });
      await fleet.network.advance(500);
      fleet.network.isCut = () => false;
      await fleet.network.advance(2 * STABILITY_MS);
      expect([missing, unaware(fleet, 0)]).toEqual([[], []]);
    },
    120_000,
  );
});
