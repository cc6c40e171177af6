import { runGenerator } from '../harness/runGenerator';
import { TestFleet } from '../harness/testFleet';
import { type MeasureOptions } from '../measureOptions';
import { type Measurement, type ResultRow } from '../measurement';

const ZONES = ['zone-1', 'zone-2', 'zone-3'];
const SERVICE = { name: 'round-sheet', targets: 16, slots: 6 };
const LOADED_CALLS_PER_SECOND = 300;
const BYTES_PER_MEBIBYTE = 2 ** 20;

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

async function readCounters(fleet: TestFleet) {
  const usages = await Promise.all(fleet.gateways.map((gateway) => gateway.usage()));
  return {
    at: performance.now(),
    bytes: sum(fleet.forwarders.map(({ bytes }) => bytes)),
    chunks: sum(fleet.forwarders.map(({ chunks }) => chunks)),
    reads: fleet.platform.readCount,
    processorMs: sum(usages.map(({ processorMs }) => processorMs)),
    residentBytes: Math.max(...usages.map(({ residentBytes }) => residentBytes)),
  };
}

async function measureInterval(
  fleet: TestFleet,
  options: MeasureOptions,
  load: 'idle' | 'loaded',
): Promise<ResultRow> {
  const hosts = fleet.hosts.length;
  const before = await readCounters(fleet);
  // The generator also runs in the idle interval, at 1 call/s, so that both intervals are alike.
  await runGenerator({
    seed: options.seed,
    runId: `control-${hosts}`,
    baseUrls: fleet.baseUrls,
    phases: [
      {
        name: 'run',
        seconds: options.seconds,
        callsPerSecond: load === 'idle' ? 1 : LOADED_CALLS_PER_SECOND,
      },
    ],
    kinds: [{ name: 'lookup', weight: 1, method: 'GET', path: '/round-sheet/l', isKeyed: false }],
    timeoutMs: 2000,
  });
  const after = await readCounters(fleet);
  const seconds = (after.at - before.at) / 1000;
  const perHostAndSecond = (value: number) => Number((value / seconds / hosts).toFixed(2));
  return {
    hosts,
    load,
    // Each byte is sent by one host and received by another.
    sentBytesPerSecond: perHostAndSecond(after.bytes - before.bytes),
    sentChunksPerSecond: perHostAndSecond(after.chunks - before.chunks),
    platformReadsPerSecond: Number(((after.reads - before.reads) / seconds).toFixed(2)),
    processorPercent: perHostAndSecond((after.processorMs - before.processorMs) / 10),
    residentMebibytes: Math.round(after.residentBytes / BYTES_PER_MEBIBYTE),
  };
}

/**
 * Traffic between hosts, counted by forwarders in front of the peer ports: TCP payload without IP
 * and TCP headers. The processor share under load includes the calls.
 */
export const controlCost: Measurement = {
  description: 'control traffic, processor share and memory of a host, by fleet size',
  run: async (options, onProgress) => {
    const rows: ResultRow[] = [];
    for (const size of options.sizes) {
      onProgress(`${size} gateways`);
      const fleet = await TestFleet.start({
        hostZones: Array.from({ length: size }, (_, index) => ZONES[index % ZONES.length]!),
        targetZones: ZONES,
        services: [SERVICE],
        targetSettings: { slots: SERVICE.slots, serviceTimeMs: 20 },
        policy: 'owner',
        seed: options.seed,
        shouldCountPeerBytes: true,
      });
      try {
        for (const load of ['idle', 'loaded'] as const) {
          rows.push(await measureInterval(fleet, options, load));
        }
      } finally {
        await fleet.stop();
      }
    }
    return rows;
  },
};
