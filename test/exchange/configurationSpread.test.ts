import { SimulatedFleet } from './simulatedFleet';

// Within this time after its publication, a configuration is in use on every host.
const MAX_SPREAD_MS = 2000;
// Spread is observed for this long, so that a failure tells the time that it took.
const OBSERVED_MS = 8000;

/** Time until every host uses the configuration, in milliseconds; Infinity after the bound. */
async function spreadTime(fleet: SimulatedFleet, version: number): Promise<number> {
  const startedAt = fleet.clock.now();
  while (fleet.clock.now() < startedAt + OBSERVED_MS) {
    if (fleet.behind(version).length === 0) return fleet.clock.now() - startedAt;
    // Small changes follow, which may reach a host that lacks the configuration.
    if (fleet.random.next() < 0.2) fleet.changeAnyTarget();
    await fleet.network.advance(50);
  }
  return Infinity;
}

function zonesWithReader(fleet: SimulatedFleet): number {
  const { hosts } = fleet.network;
  return new Set(fleet.readers().map((id) => hosts.get(id)!.address.zone)).size;
}

const SIZES = [
  { size: 17, zones: 3, seeds: [1, 2, 3] },
  { size: 113, zones: 3, seeds: [1, 2, 3] },
  { size: 312, zones: 5, seeds: [3] },
];
const chosenSeeds = process.env.SEED?.split(',').map(Number);
const RUNS = SIZES.flatMap(({ size, zones, seeds }) =>
  (chosenSeeds ?? seeds).map((seed) => [size, zones, seed] as const),
);

describe('the spread of a configuration', () => {
  // Guards against a configuration that stays in use after a newer one was published: readers
  // withhold deletions after a failure of the source, so that no host is complete up to the
  // configuration, and hosts that miss it receive later changes.
  it.each(RUNS)(
    'reaches each of %d hosts in %d zones while deletions are withheld, seed %d',
    async (size, zones, seed) => {
      const fleet = new SimulatedFleet(size, zones, seed);
      await fleet.network.advance(4000);
      fleet.source.modeOf = () => 'refuses';
      fleet.changeTarget(0);
      // Entries expire in an outage of this length, so that deletions after it are withheld.
      await fleet.network.advance(3000);
      fleet.network.lossRatio = 0.05 * (1 + (seed % 6));
      fleet.network.pullLossRatio = fleet.network.lossRatio;
      fleet.network.transferMs = 10;
      fleet.network.mostPullsServed = 4;
      fleet.source.modeOf = () => 'answers';
      while (zonesWithReader(fleet) < zones) await fleet.network.advance(50);
      fleet.removeLastTargets();
      await fleet.network.advance(300);
      expect(fleet.holdersOf(59)).toHaveLength(size);
      fleet.publishConfiguration(2);
      expect(await spreadTime(fleet, 2)).toBeLessThanOrEqual(MAX_SPREAD_MS);
    },
    120_000,
  );

  // Guards against a zone that uses an old configuration until its reader notices that its
  // connection to the source is dead.
  it.each(RUNS)(
    'reaches each of %d hosts in %d zones while readers get no answer, seed %d',
    async (size, zones, seed) => {
      const fleet = new SimulatedFleet(size, zones, seed);
      await fleet.network.advance(4000 + 400 * seed);
      const [answered, ...silent] = fleet.readers();
      expect(answered).toBeDefined();
      fleet.source.modeOf = (host) => (silent.includes(host) ? 'silent' : 'answers');
      fleet.network.lossRatio = 0.05 * (1 + (seed % 6));
      fleet.network.pullLossRatio = fleet.network.lossRatio;
      fleet.network.transferMs = 10;
      fleet.network.mostPullsServed = 4;
      fleet.publishConfiguration(2);
      expect(await spreadTime(fleet, 2)).toBeLessThanOrEqual(MAX_SPREAD_MS);
    },
    120_000,
  );
});
