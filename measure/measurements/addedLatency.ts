import { LatencyPaths, type LatencyPath } from '../harness/latencyPaths';
import { median } from '../harness/median';
import { runGenerator } from '../harness/runGenerator';
import { type Measurement, type ResultRow } from '../measurement';
import { type MeasureOptions } from '../measureOptions';

const WARM_UP_SECONDS = 1;
const MEBIBYTE = 2 ** 20;

interface Stretch {
  readonly p50: number;
  readonly p99: number;
  readonly processorMicroseconds: number;
  readonly residentMebibytes: number;
  readonly notAnswered: number;
  readonly latestStart: number;
}

async function usageOf({ processes }: LatencyPath) {
  const usages = await Promise.all(processes.map((each) => each.usage()));
  return {
    processorMs: usages.reduce((sum, usage) => sum + usage.processorMs, 0),
    residentBytes: Math.max(0, ...usages.map((usage) => usage.residentBytes)),
  };
}

async function measureStretch(
  path: LatencyPath,
  callsPerSecond: number,
  options: MeasureOptions,
  round: number,
): Promise<Stretch> {
  const before = await usageOf(path);
  const result = await runGenerator({
    // The same schedule for each path of one round.
    seed: options.seed + round,
    runId: `${path.name}-${callsPerSecond}-${round}`,
    bases: [path.base],
    phases: [
      { name: 'warm-up', seconds: WARM_UP_SECONDS, callsPerSecond },
      { name: 'run', seconds: options.seconds, callsPerSecond },
    ],
    kinds: [{ name: 'lookup', weight: 1, method: 'GET', path: '/round-sheet/pits', keyed: false }],
    timeoutMs: 2000,
  });
  const after = await usageOf(path);
  const { latency, outcomes } = result.phases.run!.lookup!;
  return {
    p50: latency.p50,
    p99: latency.p99,
    processorMicroseconds:
      ((after.processorMs - before.processorMs) * 1000) / result.reports.length,
    residentMebibytes: after.residentBytes / MEBIBYTE,
    notAnswered: Object.values(outcomes).reduce((sum, count) => sum + count) - outcomes.answered,
    latestStart: result.latestStart,
  };
}

function summarize(
  path: LatencyPath,
  callsPerSecond: number,
  stretches: readonly Stretch[],
  direct: readonly Stretch[],
): ResultRow {
  const over = (value: (stretch: Stretch, round: number) => number) =>
    Number(median(stretches.map(value)).toFixed(3));
  return {
    path: path.name,
    callsPerSecond,
    rounds: stretches.length,
    p50: over(({ p50 }) => p50),
    p99: over(({ p99 }) => p99),
    addedP50: over(({ p50 }, round) => p50 - direct[round]!.p50),
    addedP99: over(({ p99 }, round) => p99 - direct[round]!.p99),
    processorMicroseconds: over((stretch) => stretch.processorMicroseconds),
    residentMebibytes: over((stretch) => stretch.residentMebibytes),
    notAnswered: stretches.reduce((sum, { notAnswered }) => sum + notAnswered, 0),
    latestStartMs: Math.round(Math.max(...stretches.map(({ latestStart }) => latestStart))),
  };
}

/** Direct calls, one gateway, the bare pass-through and a relay in turn. */
export const addedLatency: Measurement = {
  description: 'time and processor time that a gateway and a relay add to a direct call',
  run: async (options, progress) => {
    const ways = await LatencyPaths.start(options.seed);
    const rows: ResultRow[] = [];
    try {
      for (const rate of options.rates) {
        const stretches = new Map<string, Stretch[]>(ways.paths.map(({ name }) => [name, []]));
        for (let round = 0; round < options.alternations; round += 1) {
          progress(`${rate} calls/s, alternation ${round + 1} of ${options.alternations}`);
          for (const path of ways.paths) {
            stretches.get(path.name)!.push(await measureStretch(path, rate, options, round));
          }
        }
        for (const path of ways.paths) {
          const direct = stretches.get('direct')!;
          rows.push(summarize(path, rate, stretches.get(path.name)!, direct));
        }
      }
    } finally {
      await ways.stop();
    }
    return rows;
  },
};
