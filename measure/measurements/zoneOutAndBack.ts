import { judge } from '../harness/judge';
import { kindRow } from '../harness/faultRun';
import { orderZone } from '../harness/orderZone';
import { runGenerator } from '../harness/runGenerator';
import { faultTargetSettings, MAIN_SERVICE, rateFor } from '../harness/serviceLoad';
import { TestFleet } from '../harness/testFleet';
import { lengthOf, WARM_UP, warmUpPhases } from '../harness/warmUp';
import { type MeasureOptions } from '../measureOptions';
import { type Measurement, type ResultRow } from '../measurement';

const ZONES = ['zone-1', 'zone-2', 'zone-3'];
const ZONE = 'zone-3';

interface Orders {
  readonly outAt: number | null;
  readonly backAt: number | null;
}

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

async function giveOrders(
  fleet: TestFleet,
  options: MeasureOptions,
  warmUpMs: number,
): Promise<Orders> {
  const host = fleet.hosts[0]!;
  await wait(warmUpMs + options.seconds * 1000);
  const outAt = await orderZone(host, 'zone-out', ZONE, 'measure-out');
  await wait(options.seconds * 1000);
  // Calls may return before the answer to the order arrives, so its start counts.
  const backSentAt = performance.timeOrigin + performance.now();
  const accepted = await orderZone(host, 'zone-back', ZONE, 'measure-back');
  return { outAt, backAt: accepted === null ? null : backSentAt };
}

/** Milliseconds from acceptance to the last new call in the zone before it was brought back. */
async function lastCallAfter(fleet: TestFleet, { outAt, backAt }: Orders): Promise<number> {
  if (outAt === null) return Number.NaN;
  const isInZone = (target: string) => {
    const number = Number(target.slice(target.lastIndexOf('-') + 1));
    return ZONES[(number - 1) % ZONES.length] === ZONE;
  };
  const times = (await fleet.truth())
    .filter(({ target }) => isInZone(target))
    .flatMap(({ runs }) => runs.map(([, , startedAt]) => startedAt))
    .filter((at) => at < (backAt ?? Number.POSITIVE_INFINITY));
  return Math.max(0, times.reduce((latest, at) => Math.max(latest, at), outAt) - outAt);
}

async function runPolicy(options: MeasureOptions, policy: string): Promise<readonly ResultRow[]> {
  const service = MAIN_SERVICE[options.deployment]!;
  const fleet = await TestFleet.start({
    hostZones: Array.from({ length: options.gateways }, (_, index) => ZONES[index % 3]!),
    targetZones: ZONES,
    services: [service],
    targetSettings: faultTargetSettings(service.slots),
    policy,
    seed: options.seed,
  });
  try {
    const callsPerSecond = rateFor(service, options.load);
    const phase = (name: string) => ({ name, seconds: options.seconds, callsPerSecond });
    const warmUp = warmUpPhases((load) => rateFor(service, load), options.load, 0);
    const [result, orders] = await Promise.all([
      runGenerator({
        seed: options.seed,
        runId: `${policy}-zone`,
        bases: fleet.bases,
        phases: [...warmUp, phase('before'), phase('out'), phase('back')],
        kinds: [
          { name: 'lookup', weight: 9, method: 'GET', path: `/${service.name}/l`, keyed: false },
          { name: 'update', weight: 1, method: 'POST', path: `/${service.name}/u`, keyed: false },
        ],
        timeoutMs: 2000,
      }),
      giveOrders(fleet, options, lengthOf(warmUp)),
    ]);
    const judgement = judge(result.reports, await fleet.truth(), (key) => key.startsWith('/l/'));
    const lastCallAfterMs = await lastCallAfter(fleet, orders);
    return Object.entries(result.phases)
      .filter(([name]) => name !== WARM_UP)
      .flatMap(([name, kinds]) =>
        Object.entries(kinds).map(([kind, measured]) => ({
          policy,
          phase: name,
          kind,
          ...kindRow(measured),
          ...judgement,
          latestStartMs: Math.round(result.latestStart),
          lastCallAfterMs,
          orders: orders.outAt !== null && orders.backAt !== null ? 'accepted' : 'not accepted',
        })),
      );
  } finally {
    await fleet.stop();
  }
}

/** One of three zones is taken out by an order and brought back, at 60% load. */
export const zoneOutAndBack: Measurement = {
  description: 'a zone taken out by an order and brought back, under each policy',
  run: async (options, progress) => {
    const rows: ResultRow[] = [];
    for (const policy of options.policy) {
      progress(`policy ${policy}`);
      rows.push(...(await runPolicy(options, policy)));
    }
    return rows;
  },
};
