import { kindRow } from '../harness/faultRun';
import { type CallKind } from '../harness/plan';
import { runGenerator } from '../harness/runGenerator';
import { faultTargetSettings, MAIN_SERVICE, rateFor } from '../harness/serviceLoad';
import { TestFleet } from '../harness/testFleet';
import { warmUpPhases } from '../harness/warmUp';
import { type MeasureOptions } from '../measureOptions';
import { type Measurement, type ResultRow } from '../measurement';

const ZONES = ['zone-1', 'zone-2', 'zone-3'];
// Flood watch alone fits: it takes up less than the slots that the sheet reserves for it (30%).
const FLOOD_LOAD = 0.25;
const FULL_LOAD = 2;

function kinds(service: string, lowWeight: number): readonly CallKind[] {
  const flood: CallKind = {
    name: 'flood-watch',
    weight: FLOOD_LOAD,
    method: 'GET',
    path: `/${service}/flood`,
    keyed: false,
  };
  const low: CallKind = { ...flood, name: 'low', weight: lowWeight, path: `/${service}/lookups` };
  return lowWeight === 0 ? [flood] : [flood, low];
}

async function runMix(
  options: MeasureOptions,
  policy: string,
  mix: 'alone' | 'overload',
): Promise<readonly ResultRow[]> {
  const service = MAIN_SERVICE[options.deployment]!;
  const fleet = await TestFleet.start({
    hostZones: Array.from({ length: options.gateways }, (_, index) => ZONES[index % 3]!),
    targetZones: ZONES,
    services: [service],
    targetSettings: faultTargetSettings(service.slots),
    policy,
    seed: options.seed,
    rain: true,
    operations: [`${service.name},GET,/flood,flood,yes`, `${service.name},GET,/lookups,low,yes`],
  });
  try {
    const load = mix === 'alone' ? FLOOD_LOAD : FULL_LOAD;
    const callsPerSecond = rateFor(service, load);
    const result = await runGenerator({
      seed: options.seed,
      runId: `${policy}-${mix}`,
      bases: fleet.bases,
      phases: [
        ...warmUpPhases((share) => rateFor(service, share), FLOOD_LOAD, 0),
        { name: 'run', seconds: options.seconds, callsPerSecond },
      ],
      kinds: kinds(service.name, load - FLOOD_LOAD),
      timeoutMs: 2000,
    });
    return Object.entries(result.phases.run ?? {}).map(([kind, measured]) => ({
      policy,
      mix,
      kind,
      ...kindRow(measured),
      latestStartMs: Math.round(result.latestStart),
    }));
  } finally {
    await fleet.stop();
  }
}

/** Flood watch under rain with lower classes at 2 times the capacity, and flood watch alone. */
export const overloadPriority: Measurement = {
  description: 'flood watch under rain at 2 times the capacity, and alone, under each policy',
  run: async (options, progress) => {
    const rows: ResultRow[] = [];
    for (const policy of options.policy) {
      for (const mix of ['alone', 'overload'] as const) {
        progress(`policy ${policy}, ${mix}`);
        rows.push(...(await runMix(options, policy, mix)));
      }
    }
    return rows;
  },
};
