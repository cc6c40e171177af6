import { checkOutcomes } from '../harness/checkOutcomes';
import { kindRow } from '../harness/faultRun';
import { submitZoneOrder } from '../harness/submitZoneOrder';
import { runGenerator } from '../harness/runGenerator';
import { faultTargetSettings, LARGEST_SERVICE, callsPerSecondFor } from '../harness/serviceLoad';
import { TestFleet } from '../harness/testFleet';
import { totalDurationMs, WARM_UP, warmUpPhases } from '../harness/warmUp';
import { type MeasureOptions } from '../measureOptions';
import { type Measurement, type ResultRow } from '../measurement';

const ZONES = ['zone-1', 'zone-2', 'zone-3'];
const DRAINED_ZONE = 'zone-3';

interface OrderTimes {
  readonly outAt: number | null;
  readonly backAt: number | null;
}

function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

async function submitOrders(
  fleet: TestFleet,
  options: MeasureOptions,
  warmUpMs: number,
): Promise<OrderTimes> {
  const host = fleet.hosts[0]!;
  await delay(warmUpMs + options.seconds * 1000);
  const outAt = await submitZoneOrder(host, 'zone-out', DRAINED_ZONE, 'measure-out');
  await delay(options.seconds * 1000);
  // Calls may reach the zone before the response to the order arrives, so the submit time counts.
  const backSubmittedAt = performance.timeOrigin + performance.now();
  const backAcceptedAt = await submitZoneOrder(host, 'zone-back', DRAINED_ZONE, 'measure-back');
  return { outAt, backAt: backAcceptedAt === null ? null : backSubmittedAt };
}

/** Milliseconds from acceptance to the last call that started in the zone while it was out. */
async function lastCallDelayMs(fleet: TestFleet, { outAt, backAt }: OrderTimes): Promise<number> {
  if (outAt === null) return Number.NaN;
  const isInZone = (target: string) => {
    const number = Number(target.slice(target.lastIndexOf('-') + 1));
    return ZONES[(number - 1) % ZONES.length] === DRAINED_ZONE;
  };
  const times = (await fleet.truth())
    .filter(({ target }) => isInZone(target))
    .flatMap(({ runs }) => runs.map(([, , startedAt]) => startedAt))
    .filter((at) => at < (backAt ?? Number.POSITIVE_INFINITY));
  return Math.max(0, times.reduce((latest, at) => Math.max(latest, at), outAt) - outAt);
}

async function runPolicy(options: MeasureOptions, policy: string): Promise<readonly ResultRow[]> {
  const service = LARGEST_SERVICE[options.deployment]!;
  const fleet = await TestFleet.start({
    hostZones: Array.from({ length: options.gateways }, (_, index) => ZONES[index % 3]!),
    targetZones: ZONES,
    services: [service],
    targetSettings: faultTargetSettings(service.slots),
    policy,
    seed: options.seed,
  });
  try {
    const callsPerSecond = callsPerSecondFor(service, options.load);
    const phase = (name: string) => ({ name, seconds: options.seconds, callsPerSecond });
    const warmUp = warmUpPhases((load) => callsPerSecondFor(service, load), options.load, 0);
    const [result, orders] = await Promise.all([
      runGenerator({
        seed: options.seed,
        runId: `${policy}-zone`,
        baseUrls: fleet.baseUrls,
        phases: [...warmUp, phase('before'), phase('out'), phase('back')],
        kinds: [
          { name: 'lookup', weight: 9, method: 'GET', path: `/${service.name}/l`, isKeyed: false },
          { name: 'update', weight: 1, method: 'POST', path: `/${service.name}/u`, isKeyed: false },
        ],
        timeoutMs: 2000,
      }),
      submitOrders(fleet, options, totalDurationMs(warmUp)),
    ]);
    const check = checkOutcomes(result.reports, await fleet.truth(), (key) => key.startsWith('/l/'));
    const lastCallAfterMs = await lastCallDelayMs(fleet, orders);
    return Object.entries(result.phases)
      .filter(([name]) => name !== WARM_UP)
      .flatMap(([name, kinds]) =>
        Object.entries(kinds).map(([kind, measured]) => ({
          policy,
          phase: name,
          kind,
          ...kindRow(measured),
          ...check,
          latestStartMs: Math.round(result.maxStartDelayMs),
          lastCallAfterMs,
          orders: orders.outAt !== null && orders.backAt !== null ? 'accepted' : 'not accepted',
        })),
      );
  } finally {
    await fleet.stop();
  }
}

/** One of three zones is taken out of service by an order and brought back, at 60% load. */
export const zoneOutAndBack: Measurement = {
  description: 'a zone taken out of service by an order and brought back, by policy',
  run: async (options, onProgress) => {
    const rows: ResultRow[] = [];
    for (const policy of options.policy) {
      onProgress(`policy ${policy}`);
      rows.push(...(await runPolicy(options, policy)));
    }
    return rows;
  },
};
