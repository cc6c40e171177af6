import { kindRow } from '../harness/faultRun';
import { type CallKind } from '../harness/plan';
import { runGenerator } from '../harness/runGenerator';
import { faultTargetSettings, LARGEST_SERVICE, callsPerSecondFor } from '../harness/serviceLoad';
import { TestFleet } from '../harness/testFleet';
import { warmUpPhases } from '../harness/warmUp';
import { type MeasureOptions } from '../measureOptions';
import { type Measurement, type ResultRow } from '../measurement';

const ZONES = ['zone-1', 'zone-2', 'zone-3'];
// Flood watch alone fits: it needs less than the 30% of the slots that the sheet reserves for it.
const FLOOD_LOAD = 0.25;
const OVERLOAD = 2;

function callKinds(service: string, lowWeight: number): readonly CallKind[] {
  const flood: CallKind = {
    name: 'flood-watch',
    weight: FLOOD_LOAD,
    method: 'GET',
    path: `/${service}/flood`,
    isKeyed: false,
  };
  const low: CallKind = { ...flood, name: 'low', weight: lowWeight, path: `/${service}/lookups` };
  return lowWeight === 0 ? [flood] : [flood, low];
}

async function runMix(
  options: MeasureOptions,
  policy: string,
  mix: 'alone' | 'overload',
): Promise<readonly ResultRow[]> {
  const service = LARGEST_SERVICE[options.deployment]!;
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
    const load = mix === 'alone' ? FLOOD_LOAD : OVERLOAD;
    const callsPerSecond = callsPerSecondFor(service, load);
    const result = await runGenerator({
      seed: options.seed,
      runId: `${policy}-${mix}`,
      baseUrls: fleet.baseUrls,
      phases: [
        ...warmUpPhases((share) => callsPerSecondFor(service, share), FLOOD_LOAD, 0),
        { name: 'run', seconds: options.seconds, callsPerSecond },
      ],
      kinds: callKinds(service.name, load - FLOOD_LOAD),
      timeoutMs: 2000,
    });
    return Object.entries(result.phases.run ?? {}).map(([kind, measured]) => ({
      policy,
      mix,
      kind,
      ...kindRow(measured),
      latestStartMs: Math.round(result.maxStartDelayMs),
    }));
  } finally {
    await fleet.stop();
  }
}

/** Flood watch with rain and a lower class at 2 times the capacity, and flood watch alone. */
export const overloadPriority: Measurement = {
  description: 'flood watch with rain at 2 times the capacity, and alone, by policy',
  run: async (options, onProgress) => {
    const rows: ResultRow[] = [];
    for (const policy of options.policy) {
      for (const mix of ['alone', 'overload'] as const) {
        onProgress(`policy ${policy}, ${mix}`);
        rows.push(...(await runMix(options, policy, mix)));
      }
    }
    return rows;
  },
};
