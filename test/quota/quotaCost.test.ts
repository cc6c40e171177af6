import { decodeMessage } from '../../src/exchange/datagramCodec';

import { QuotaFleet } from './quotaFleet';
import { tenantOf } from './tenants';

const SEED = Number(process.env.SEED ?? 1);
const MAX_BYTES_PER_SECOND = 6000;
const SETTLING_MS = 10_000;
const MEASURED_MS = 5000;
const CALLS_PER_SECOND_OF_HOST = 5;
const TENANT_COUNT = 83;
// Fine enough to measure the time of a round trip between hosts.
const STEP_MS = 0.5;
const LIMITS = [2, 5, 10, 100];

// The largest sizes are for measurements.
const SIZES: readonly (readonly [size: number, zones: number])[] = [
  [17, 3],
  ...(process.env.PRINT_QUOTAS === undefined
    ? []
    : ([
        [48, 3],
        [129, 3],
      ] as const)),
];

/** Runs calls of random tenants at random hosts; counts what is sent about quotas. */
async function measure(fleet: QuotaFleet, names: readonly number[]) {
  const tenants = names.map((limit, index) => tenantOf(`tenant-${index}`, limit, limit));
  fleet.publish(tenants);
  await fleet.network.advance(SETTLING_MS);
  const hosts = fleet.hosts();
  const sent = new Map(hosts.map((host) => [host, { datagrams: 0, bytes: 0 }]));
  fleet.network.onSend = (bytes, from) => {
    if (!decodeMessage(bytes)!.kind.startsWith('quota')) return;
    const { datagrams, bytes: before } = sent.get(from)!;
    sent.set(from, { datagrams: datagrams + 1, bytes: before + bytes.length });
  };
  const callsPerStep = (hosts.length * CALLS_PER_SECOND_OF_HOST * STEP_MS) / 1000;
  const end = fleet.clock.now() + MEASURED_MS;
  while (fleet.clock.now() < end) {
    if (fleet.random.next() < callsPerStep)
      fleet.call(
        hosts[fleet.random.integer(hosts.length)]!,
        tenants[fleet.random.integer(tenants.length)]!,
      );
    await fleet.network.advance(STEP_MS);
  }
  const seconds = MEASURED_MS / 1000;
  const counts = [...sent.values()];
  const waits = fleet.calls.map(({ waitedMs }) => waitedMs).sort((left, right) => left - right);
  const sum = (of: (count: { datagrams: number; bytes: number }) => number) =>
    counts.reduce((total, count) => total + of(count), 0) / counts.length / seconds;
  return {
    calls: fleet.calls.length,
    datagrams: sum(({ datagrams }) => datagrams),
    bytes: sum(({ bytes }) => bytes),
    mostBytes: Math.max(...counts.map(({ bytes }) => bytes)) / seconds,
    waits: [0.5, 0.9, 0.99, 1].map((share) => waits[Math.ceil(waits.length * share) - 1]),
  };
}

describe.each(SIZES)(`quotas at %d hosts in %d zones (seed ${SEED})`, (size, zones) => {
  // Guards against questions that take what a host may send.
  it('stay within 6 KB/s a host', async () => {
    const fleet = new QuotaFleet(size, zones, SEED, []);
    const limits = Array.from({ length: TENANT_COUNT }, (_, index) => LIMITS[index % 4]!);
    const cost = await measure(fleet, limits);
    if (process.env.PRINT_QUOTAS !== undefined) console.log(`${size} hosts`, JSON.stringify(cost));
    expect(cost.calls).toBeGreaterThan(0);
    expect(cost.mostBytes).toBeLessThan(MAX_BYTES_PER_SECOND);
  }, 600_000);

  // Guards against a cost where no limit is set.
  it('send nothing for tenants without a limit', async () => {
    const fleet = new QuotaFleet(size, zones, SEED, []);
    const cost = await measure(fleet, [0, 0, 0]);
    expect(cost).toMatchObject({ datagrams: 0, bytes: 0 });
    expect(cost.waits.at(-1)).toBeLessThanOrEqual(STEP_MS);
  }, 600_000);
});
