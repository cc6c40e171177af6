import { type MeasureOptions } from '../measureOptions';
import { type ResultRow } from '../measurement';

import { judge } from './judge';
import { type KindResult } from './loadResult';
import { type CallKind, type Phase } from './plan';
import { runGenerator } from './runGenerator';
import { faultTargetSettings, MAIN_SERVICE, rateFor } from './serviceLoad';
import { TestFleet } from './testFleet';
import { lengthOf, WARM_UP, warmUpPhases } from './warmUp';

const CALL_TIMEOUT_MS = 2000;
const ZONES = ['zone-1', 'zone-2', 'zone-3'];

/** A fault put on a running fleet at the end of the warm-up. */
export interface Fault {
  readonly name: string;
  /** Starts the fault; `target` is the id of one of the targets. */
  apply(fleet: TestFleet, target: string): Promise<void>;
  /** Cold period of the targets in the sheet; 0 when left out. */
  readonly coldMs?: number;
}

/** No fault. */
export const NO_FAULT: Fault = { name: 'none', apply: () => Promise.resolve() };

/** Makes a row of results of one kind of call. */
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

function kindsOf(service: string): readonly CallKind[] {
  return [
    { name: 'lookup', weight: 9, method: 'GET', path: `/${service}/lookups`, keyed: false },
    { name: 'update', weight: 1, method: 'POST', path: `/${service}/updates`, keyed: false },
  ];
}

/** Runs one policy with one fault on the largest service of the deployment. */
export async function runFault(
  options: MeasureOptions,
  policy: string,
  fault: Fault,
  phasesAt?: (rate: (load: number) => number) => readonly Phase[],
): Promise<readonly ResultRow[]> {
  const { seed, seconds, gateways } = options;
  const service = MAIN_SERVICE[options.deployment]!;
  const rate = (load: number) => rateFor(service, load);
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
    const phases = phasesAt?.(rate) ?? [
      { name: 'run', seconds, callsPerSecond: rate(options.load) },
    ];
    const warmUp = warmUpPhases(rate, options.load, fault.coldMs ?? 0);
    const starting = new Promise<void>((resolve, reject) => {
      setTimeout(
        () => fault.apply(fleet, `${service.name}-1`).then(resolve, reject),
        lengthOf(warmUp),
      );
    });
    const [result] = await Promise.all([
      runGenerator({
        seed,
        runId: `${policy}-${fault.name}`,
        bases: fleet.bases,
        phases: [...warmUp, ...phases],
        kinds: kindsOf(service.name),
        timeoutMs: CALL_TIMEOUT_MS,
      }),
      starting,
    ]);
    const judgement = judge(result.reports, await fleet.truth(), (key) =>
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
          ...judgement,
          latestStartMs: Math.round(result.latestStart),
        })),
      );
  } finally {
    await fleet.stop();
  }
}

/** Runs each policy without and with the fault, on the same schedule. */
export async function compareFault(
  options: MeasureOptions,
  fault: Fault,
  progress: (line: string) => void,
): Promise<readonly ResultRow[]> {
  const rows: ResultRow[] = [];
  for (const policy of options.policy) {
    for (const each of [NO_FAULT, fault]) {
      progress(`policy ${policy}, fault ${each.name}`);
      rows.push(...(await runFault(options, policy, { ...fault, ...each })));
    }
  }
  return rows;
}
