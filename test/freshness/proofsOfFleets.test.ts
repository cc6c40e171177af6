import { decodeMessage } from '../../src/exchange/datagramCodec';
import { SimulatedFleet } from '../exchange/simulatedFleet';

const SEED = Number(process.env.SEED ?? 1);
const MAX_AGE_MS = 2000;
// The requirement for all hosts in contact while a reader, a zone or a link fails.
const MAX_FAULT_AGE_MS = 2200;
const USABLE_MS = 4800;
const MAX_START_MS = 2000;
// "A few" hosts of each zone read the store when all start.
const MAX_START_CALLS_OF_ZONE = 5;
// About two hosts of a zone may confirm in half a second.
const MAX_OUTAGE_CALLS_OF_ZONE = 4;
const MAX_BYTES_PER_SECOND = 6000;
const STEP_MS = 10;

// The largest sizes take minutes and are for measurements.
const SIZES: readonly (readonly [size: number, zones: number])[] = [
  [17, 3],
  // Without another zone the hosts depend on the one that would read next.
  [25, 1],
  ...(process.env.PRINT_PROOFS === undefined
    ? []
    : [[48, 3] as const, [129, 5] as const, [312, 5] as const]),
];

/** Age in milliseconds of the oldest proof of a host at any moment of `durationMs`, without one host. */
async function oldestProof(
  fleet: SimulatedFleet,
  durationMs: number,
  withoutHost: string | null = null,
): Promise<number> {
  let oldestMs = 0;
  const end = fleet.clock.now() + durationMs;
  while (fleet.clock.now() < end) {
    await fleet.network.advance(STEP_MS);
    for (const { address, freshness } of fleet.network.liveHosts())
      if (address.id !== withoutHost) oldestMs = Math.max(oldestMs, freshness.proofAgeMs());
  }
  return Math.ceil(oldestMs);
}

/** Time in milliseconds until all hosts have a proof, at most `MAX_START_MS` and a step. */
async function allHaveProofs(fleet: SimulatedFleet): Promise<number> {
  const startedAt = fleet.clock.now();
  const isWithout = () =>
    fleet.network.liveHosts().some(({ freshness }) => freshness.proofAgeMs() > MAX_AGE_MS);
  while (isWithout() && fleet.clock.now() <= startedAt + MAX_START_MS)
    await fleet.network.advance(STEP_MS);
  return fleet.clock.now() - startedAt;
}

/** Bytes and datagrams of proofs that a host sends a second, in the mean and at most. */
async function traffic(fleet: SimulatedFleet, seconds: number) {
  const bytes = new Map<string, number>();
  let datagrams = 0;
  fleet.network.onSend = (sent, from) => {
    if (decodeMessage(sent)?.kind.startsWith('proof') !== true) return;
    bytes.set(from, (bytes.get(from) ?? 0) + sent.length);
    datagrams += 1;
  };
  fleet.source.requests = 0;
  fleet.source.confirmations = 0;
  fleet.source.confirmers.clear();
  for (const host of fleet.network.liveHosts()) host.sentBytes = 0;
  const oldestMs = await oldestProof(fleet, seconds * 1000);
  fleet.network.onSend = () => {};
  const hosts = fleet.network.liveHosts();
  const total = [...bytes.values()].reduce((sum, count) => sum + count, 0);
  return {
    oldestMs,
    meanBytes: total / hosts.length / seconds,
    mostBytes: Math.max(...bytes.values()) / seconds,
    mostBytesOfAllMessages: Math.max(...hosts.map(({ sentBytes }) => sentBytes)) / seconds,
    datagrams: datagrams / hosts.length / seconds,
    confirmations: fleet.source.confirmations / seconds,
    confirmers: fleet.source.confirmers.size,
    storeCalls: fleet.source.requests / seconds,
  };
}

function print(size: number, what: string, figures: unknown): void {
  if (process.env.PRINT_PROOFS !== undefined) console.log(size, what, JSON.stringify(figures));
}

describe.each(SIZES)(`the proofs of %d hosts in %d zones, seed ${SEED}`, (size, zones) => {
  const fleet = new SimulatedFleet(size, zones, SEED, true);

  // Guards against a start at which all hosts read the store, or at which some get no proof.
  it('are there soon after the start, with few calls to the store', async () => {
    const startMs = await allHaveProofs(fleet);
    print(size, 'start', { startMs, calls: fleet.source.requests });
    expect(startMs).toBeLessThanOrEqual(MAX_START_MS);
    expect(fleet.source.requests).toBeLessThanOrEqual(MAX_START_CALLS_OF_ZONE * zones);
    await fleet.network.advance(5000);
  }, 300_000);

  // Guards against proofs that expire without a fault, against their cost, and against zones that all
  // confirm at the store although one is enough.
  it('are young at rest and cost few bytes', async () => {
    const figures = await traffic(fleet, 6);
    print(size, 'rest', figures);
    expect(figures.oldestMs).toBeLessThan(MAX_AGE_MS);
    expect(figures.mostBytesOfAllMessages).toBeLessThan(MAX_BYTES_PER_SECOND);
    expect(figures.confirmations).toBeGreaterThanOrEqual(1);
    expect(figures.confirmers).toBe(1);
  }, 300_000);

  const zoneOf = (id: string) => fleet.network.hosts.get(id)!.address.zone;
  const faultsOfHosts = {
    dies: (confirmer: string) => fleet.network.kill(confirmer),
    freezes: (confirmer: string) => {
      fleet.network.isCut = (from, to) => from.id === confirmer || to.id === confirmer;
      fleet.source.modeOf = (host) => (host === confirmer ? 'silent' : 'answers');
    },
    'has no store': (confirmer: string) => {
      fleet.source.modeOf = (host) => (host === confirmer ? 'refuses' : 'answers');
    },
  };
  const faultsOfZones = {
    'has no store in its zone': (confirmer: string) => {
      fleet.source.modeOf = (host) => (zoneOf(host) === zoneOf(confirmer) ? 'silent' : 'answers');
    },
    'is cut off with its zone': (confirmer: string) => {
      const zone = zoneOf(confirmer);
      fleet.network.isCut = (from, to) => (from.zone === zone) !== (to.zone === zone);
    },
    'loses its link to one zone': (confirmer: string) => {
      const cut = [zoneOf(confirmer), fleet.network.liveHosts().at(-1)!.address.zone];
      fleet.network.isCut = (from, to) =>
        from.zone !== to.zone && cut.includes(from.zone) && cut.includes(to.zone);
    },
  };

  // Guards against zones whose proofs depend on the one that confirms: its fault and its end must not age
  // the proof of any host that is in contact.
  const faults = zones === 1 ? faultsOfHosts : { ...faultsOfHosts, ...faultsOfZones };
  it.each(Object.entries(faults))(
    'are young while the confirming reader %s',
    async (what, begin) => {
      const confirmer = [...fleet.source.confirmers].at(-1)!;
      fleet.source.confirmations = 0;
      begin(confirmer);
      const frozen = what === 'freezes' ? confirmer : null;
      const duringMs = await oldestProof(fleet, 10_000, frozen);
      const { confirmations } = fleet.source;
      fleet.source.modeOf = () => 'answers';
      fleet.network.isCut = () => false;
      if (what === 'dies') fleet.restart(confirmer);
      const afterMs = await oldestProof(fleet, 5000, frozen);
      print(size, what, { duringMs, afterMs, confirmations });
      await fleet.network.advance(12_000);
      fleet.source.confirmers.clear();
      await fleet.network.advance(3000);
      expect(Math.max(duringMs, afterMs)).toBeLessThan(MAX_FAULT_AGE_MS);
      expect(fleet.source.confirmers.size).toBe(1);
    },
    300_000,
  );

  // Guards against a zone whose proofs depend on one host.
  it('are young while the reader of a zone dies', async () => {
    fleet.network.kill(fleet.readers()[0]!);
    const oldestMs = await oldestProof(fleet, 10_000);
    print(size, 'reader dies', oldestMs);
    expect(oldestMs).toBeLessThan(MAX_AGE_MS);
  }, 300_000);

  // Guards against a host that asks dead or silent hosts only, or has to ask for long.
  it('are young on a network that loses datagrams', async () => {
    fleet.network.lossRatio = 0.05;
    const oldestMs = await oldestProof(fleet, 6000);
    fleet.network.lossRatio = 0;
    print(size, 'loss of 5%', oldestMs);
    expect(oldestMs).toBeLessThan(MAX_AGE_MS);
  }, 300_000);

  // Guards against a zone whose reader has no access to the store.
  it('are young while the reader of a zone is cut off from the store', async () => {
    const reader = fleet.readers()[0]!;
    fleet.source.modeOf = (host) => (host === reader ? 'silent' : 'answers');
    const oldestMs = await oldestProof(fleet, 6000);
    print(size, 'reader without store', oldestMs);
    expect(oldestMs).toBeLessThan(MAX_AGE_MS);
    fleet.source.modeOf = () => 'answers';
    await fleet.network.advance(3000);
  }, 300_000);

  // Guards against refused calls in a short outage of the store, against use of keys after a longer one,
  // and against a flood of calls during it.
  it('outlast 3 s without the store, expire after a longer outage and come back', async () => {
    fleet.source.modeOf = () => 'silent';
    expect(await oldestProof(fleet, 3000)).toBeLessThan(USABLE_MS);
    fleet.source.confirmations = 0;
    await fleet.network.advance(8000);
    const confirmations = fleet.source.confirmations / 8;
    expect(confirmations).toBeLessThan(MAX_OUTAGE_CALLS_OF_ZONE * zones);
    expect(fleet.network.liveHosts().filter(({ freshness }) => freshness.mayUseKeys())).toEqual([]);
    fleet.source.modeOf = () => 'answers';
    const backMs = await allHaveProofs(fleet);
    print(size, 'outage', { confirmations, backMs });
    expect(backMs).toBeLessThanOrEqual(MAX_START_MS);
  }, 300_000);
});
