import { LatencyPaths, type LatencyPath } from '../harness/latencyPaths';
import { median } from '../harness/median';
import { runGenerator } from '../harness/runGenerator';
import { type Measurement, type ResultRow } from '../measurement';
import { type MeasureOptions } from '../measureOptions';

const WARM_UP_SECONDS = 1;
const BYTES_PER_MEBIBYTE = 2 ** 20;

interface IntervalResult {
  readonly p50: number;
  readonly p99: number;
  readonly processorMicroseconds: number;
  readonly residentMebibytes: number;
  readonly notAnswered: number;
  readonly maxStartDelayMs: number;
}

async function usageOf({ processes }: LatencyPath) {
  const usages = await Promise.all(processes.map((each) => each.usage()));
  return {
    processorMs: usages.reduce((sum, usage) => sum + usage.processorMs, 0),
    residentBytes: Math.max(0, ...usages.map((usage) => usage.residentBytes)),
  };
}

async function measureInterval(
  path: LatencyPath,
  callsPerSecond: number,
  options: MeasureOptions,
  round: number,
): Promise<IntervalResult> {
  const before = await usageOf(path);
  const result = await runGenerator({
    // All paths of one round use the same schedule.
    seed: options.seed + round,
    runId: `${path.name}-${callsPerSecond}-${round}`,
    baseUrls: [path.baseUrl],
    phases: [
      { name: 'warm-up', seconds: WARM_UP_SECONDS, callsPerSecond },
      { name: 'run', seconds: options.seconds, callsPerSecond },
    ],
    kinds: [{ name: 'lookup', weight: 1, method: 'GET', path: '/round-sheet/pits', isKeyed: false }],
    timeoutMs: 2000,
  });
  const after = await usageOf(path);
  const { latency, outcomes } = result.phases.run!.lookup!;
  return {
    p50: latency.p50,
    p99: latency.p99,
    processorMicroseconds:
      ((after.processorMs - before.processorMs) * 1000) / result.reports.length,
    residentMebibytes: after.residentBytes / BYTES_PER_MEBIBYTE,
    notAnswered: Object.values(outcomes).reduce((sum, count) => sum + count) - outcomes.answered,
    maxStartDelayMs: result.maxStartDelayMs,
  };
}

function summarize(
  path: LatencyPath,
  callsPerSecond: number,
  intervals: readonly IntervalResult[],
  direct: readonly IntervalResult[],
): ResultRow {
  const medianOf = (select: (stretch: IntervalResult, round: number) => number) =>
    Number(median(intervals.map(select)).toFixed(3));
  return {
    path: path.name,
    callsPerSecond,
    rounds: intervals.length,
    p50: medianOf(({ p50 }) => p50),
    p99: medianOf(({ p99 }) => p99),
    addedP50: medianOf(({ p50 }, round) => p50 - direct[round]!.p50),
    addedP99: medianOf(({ p99 }, round) => p99 - direct[round]!.p99),
    processorMicroseconds: medianOf((stretch) => stretch.processorMicroseconds),
    residentMebibytes: medianOf((stretch) => stretch.residentMebibytes),
    notAnswered: intervals.reduce((sum, { notAnswered }) => sum + notAnswered, 0),
    latestStartMs: Math.round(Math.max(...intervals.map(({ maxStartDelayMs }) => maxStartDelayMs))),
  };
}

/** Alternates between direct calls, one gateway, the baseline proxy and a relay. */
export const addedLatency: Measurement = {
  description: 'time and processor time that a gateway and a relay add to a direct call',
  run: async (options, onProgress) => {
    const latencyPaths = await LatencyPaths.start(options.seed);
    const rows: ResultRow[] = [];
    try {
      for (const rate of options.rates) {
        const intervals = new Map<string, IntervalResult[]>(latencyPaths.paths.map(({ name }) => [name, []]));
        for (let round = 0; round < options.alternations; round += 1) {
          onProgress(`${rate} calls/s, alternation ${round + 1} of ${options.alternations}`);
          for (const path of latencyPaths.paths) {
            intervals.get(path.name)!.push(await measureInterval(path, rate, options, round));
          }
        }
        for (const path of latencyPaths.paths) {
          const direct = intervals.get('direct')!;
          rows.push(summarize(path, rate, intervals.get(path.name)!, direct));
        }
      }
    } finally {
      await latencyPaths.stop();
    }
    return rows;
  },
};
