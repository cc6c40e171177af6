import { type MeasureOptions } from '../measureOptions';
import { type ResultRow } from '../measurement';

import { checkOutcomes } from './checkOutcomes';
import { type KindResult } from './loadResult';
import { type CallKind, type Phase } from './plan';
import { runGenerator } from './runGenerator';
import { faultTargetSettings, LARGEST_SERVICE, callsPerSecondFor } from './serviceLoad';
import { TestFleet } from './testFleet';
import { totalDurationMs, WARM_UP, warmUpPhases } from './warmUp';

const CALL_TIMEOUT_MS = 2000;
const ZONES = ['zone-1', 'zone-2', 'zone-3'];

/** A fault injected into a running fleet at the end of the warm-up. */
export interface Fault {
  readonly name: string;
  /** Injects the fault; `target` is the id of one of the targets. */
  apply(fleet: TestFleet, target: string): Promise<void>;
  /** Cold period of the targets in the sheet; 0 by default. */
  readonly coldMs?: number;
}

/** No fault. */
export const NO_FAULT: Fault = { name: 'none', apply: () => Promise.resolve() };

/** Converts the results of one kind of call into columns of a row. */
export function kindRow({ outcomes, latency }: KindResult): ResultRow {
  return {
    calls: Object.values(outcomes).reduce((sum, count) => sum + count, 0),
    answered: outcomes.answered,
    refused: outcomes['not-run'],
    failed: outcomes.failed + outcomes.broken,
    unknown: outcomes.unknown,
    p50: latency.p50,
    p99: latency.p99,
    p999: latency.p999,
  };
}

function callKinds(service: string): readonly CallKind[] {
  return [
    { name: 'lookup', weight: 9, method: 'GET', path: `/${service}/lookups`, isKeyed: false },
    { name: 'update', weight: 1, method: 'POST', path: `/${service}/updates`, isKeyed: false },
  ];
}

/** Runs one policy with one fault on the largest service of the deployment. */
export async function runFault(
  options: MeasureOptions,
  policy: string,
  fault: Fault,
  makePhases?: (rate: (load: number) => number) => readonly Phase[],
): Promise<readonly ResultRow[]> {
  const { seed, seconds, gateways } = options;
  const service = LARGEST_SERVICE[options.deployment]!;
  const rate = (load: number) => callsPerSecondFor(service, load);
  const fleet = await TestFleet.start({
    hostZones: Array.from({ length: gateways }, (_, index) => ZONES[index % ZONES.length]!),
    targetZones: ZONES,
    services: [service],
    targetSettings: { ...faultTargetSettings(service.slots) },
    policy,
    seed,
    coldMs: fault.coldMs,
  });
  try {
    const phases = makePhases?.(rate) ?? [
      { name: 'run', seconds, callsPerSecond: rate(options.load) },
    ];
    const warmUp = warmUpPhases(rate, options.load, fault.coldMs ?? 0);
    const faultApplied = new Promise<void>((resolve, reject) => {
      setTimeout(
        () => fault.apply(fleet, `${service.name}-1`).then(resolve, reject),
        totalDurationMs(warmUp),
      );
    });
    const [result] = await Promise.all([
      runGenerator({
        seed,
        runId: `${policy}-${fault.name}`,
        baseUrls: fleet.baseUrls,
        phases: [...warmUp, ...phases],
        kinds: callKinds(service.name),
        timeoutMs: CALL_TIMEOUT_MS,
      }),
      faultApplied,
    ]);
    const check = checkOutcomes(result.reports, await fleet.truth(), (key) =>
      key.startsWith('/lookups'),
    );
    return Object.entries(result.phases)
      .filter(([phase]) => phase !== WARM_UP)
      .flatMap(([phase, kinds]) =>
        Object.entries(kinds).map(([kind, measured]) => ({
          policy,
          fault: fault.name,
          phase,
          kind,
          ...kindRow(measured),
          ...check,
          latestStartMs: Math.round(result.maxStartDelayMs),
        })),
      );
  } finally {
    await fleet.stop();
  }
}

/** Runs each policy without and with the fault, with the same schedule. */
export async function compareFault(
  options: MeasureOptions,
  fault: Fault,
  onProgress: (line: string) => void,
): Promise<readonly ResultRow[]> {
  const rows: ResultRow[] = [];
  for (const policy of options.policy) {
    for (const currentFault of [NO_FAULT, fault]) {
      onProgress(`policy ${policy}, fault ${currentFault.name}`);
      rows.push(...(await runFault(options, policy, { ...fault, ...currentFault })));
    }
  }
  return rows;
}
