import { rendezvousOrder } from '../../src/runtime';
import { type SourceMode } from '../exchange/simulatedSource';
import { SimulatedFleet } from '../exchange/simulatedFleet';

const SEED = Number(process.env.SEED ?? 1);
// The shortest time of the users by which a change is in use.
const APPLY_MS = 2000;
const OBSERVED_MS = 6000;
const STEP_MS = 10;
const REMOVED_TARGET = 59;

// The larger sizes take minutes and are for measurements.
const SIZES: readonly (readonly [size: number, zones: number])[] = [
  [12, 3],
  [17, 3],
  [25, 1],
  ...(process.env.PRINT_PROOFS === undefined
    ? []
    : [[60, 3] as const, [70, 1] as const, [113, 3] as const, [312, 5] as const]),
];

/** The hosts of each zone in the order in which they read. */
function readingOrder(fleet: SimulatedFleet): readonly (readonly string[])[] {
  const zones = new Map<string, string[]>();
  for (const { address } of fleet.network.liveHosts())
    zones.set(address.zone, [...(zones.get(address.zone) ?? []), address.id]);
  return [...zones.values()].map((hosts) => rendezvousOrder('catalog reader', hosts));
}

/** Time in milliseconds until no host uses what was changed, at most `OBSERVED_MS`. */
async function timeUntilInUse(fleet: SimulatedFleet, isInUse: () => boolean): Promise<number> {
  const startedAt = fleet.clock.now();
  while (!isInUse() && fleet.clock.now() < startedAt + OBSERVED_MS)
    await fleet.network.advance(STEP_MS);
  return fleet.clock.now() - startedAt;
}

/** A fleet at rest, of which the first hosts of each zone, in the order in which they read, fail. */
async function fleetWithout(
  [size, zones]: readonly [number, number],
  failingOfZone: number,
  fail: (fleet: SimulatedFleet, failing: ReadonlySet<string>) => void,
): Promise<SimulatedFleet> {
  const fleet = new SimulatedFleet(size, zones, SEED);
  await fleet.network.advance(12_000 + 370 * SEED);
  // The watches that follow a change begin at the same moment, so that all of them last for long.
  fleet.changeTarget(0);
  await fleet.network.advance(500);
  fail(fleet, new Set(readingOrder(fleet).flatMap((order) => order.slice(0, failingOfZone))));
  // The reviewed disruption begins shortly before the change.
  await fleet.network.advance(100);
  return fleet;
}

function treat(mode: SourceMode) {
  return (fleet: SimulatedFleet, failing: ReadonlySet<string>) => {
    fleet.source.modeOf = (host) => (failing.has(host) ? mode : 'answers');
  };
}

const FAULTS = {
  'get no answer': treat('silent'),
  'are refused': treat('refuses'),
  'are answered late': treat('slow'),
  die: (fleet: SimulatedFleet, failing: ReadonlySet<string>) => {
    for (const id of failing) fleet.network.kill(id);
  },
};
const CASES = Object.entries(FAULTS).flatMap(([what, fail]) =>
  [1, 2].map((failingOfZone) => [failingOfZone, what, fail] as const),
);

describe.each(SIZES)(
  `a change at %d hosts in %d zones while nobody looks, seed ${SEED}`,
  (...size) => {
    // Guards against hosts that use an old configuration since all hosts that read have lost the source.
    it.each(CASES)(
      'is in use in time when the first %d of each zone %s: a configuration',
      async (failingOfZone, what, fail) => {
        const fleet = await fleetWithout(size, failingOfZone, fail);
        fleet.publishConfiguration(2);
        const elapsedMs = await timeUntilInUse(fleet, () => fleet.behind(2).length === 0);
        if (process.env.PRINT_PROOFS !== undefined)
          console.log(size, failingOfZone, what, 'configuration', elapsedMs);
        expect(elapsedMs).toBeLessThan(APPLY_MS);
      },
      300_000,
    );

    // Guards against calls to a target that is gone, for the same cause.
    it.each(CASES)(
      'is in use in time when the first %d of each zone %s: a removal',
      async (failingOfZone, what, fail) => {
        const fleet = await fleetWithout(size, failingOfZone, fail);
        fleet.removeTarget(REMOVED_TARGET);
        const isGone = () => fleet.holdersOf(REMOVED_TARGET).length === 0;
        const elapsedMs = await timeUntilInUse(fleet, isGone);
        if (process.env.PRINT_PROOFS !== undefined)
          console.log(size, failingOfZone, what, 'removal', elapsedMs);
        expect(elapsedMs).toBeLessThan(APPLY_MS);
      },
      300_000,
    );
  },
);
