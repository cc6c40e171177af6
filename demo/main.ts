import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { parseArgs } from 'node:util';

import { checkOutcomes } from '../measure/harness/checkOutcomes';
import { LoadGenerator } from '../measure/harness/loadGenerator';
import { type LoadResult } from '../measure/harness/loadResult';
import { truthOf } from '../standins';

import { demoPlan } from './demoPlan';
import { DemoSystem } from './demoSystem';
import { ZoneStep } from './zoneStep';

const PROGRESS_INTERVAL_MS = 2000;
// Shares of the run after which the zone is taken out of service and brought back.
const ZONE_OUT_SHARE = 0.3;
const ZONE_BACK_SHARE = 0.65;

const OPTIONS = {
  sheet: {
    type: 'string',
    default: join(__dirname, '..', '..', 'examples', 'derwent-vale.csv'),
  },
  seconds: { type: 'string', default: '20' },
  rate: { type: 'string', default: '150' },
  seed: { type: 'string', default: '1' },
} as const;

function progressLine(system: DemoSystem): string {
  const targets = [...system.targets.values()];
  const runs = targets.flatMap((target) => target.runs);
  const done = runs.filter(({ state }) => state === 'done').length;
  const inFlight = targets.reduce((sum, target) => sum + target.inFlight, 0);
  const withoutEffect = runs.length - done - inFlight;
  return `${done} calls took effect, ${inFlight} in flight, ${withoutEffect} ended without effect`;
}

/** Builds the table of outcomes by service, from the records of the callers and the targets. */
function outcomeTable(system: DemoSystem, result: LoadResult) {
  const truths = [...system.targets.values()].map(truthOf);
  return Object.entries(result.phases.demo ?? {}).map(([service, { outcomes, latency }]) => {
    const reports = result.reports.filter(([, , kind]) => kind === service);
    const { doubled, lost, falseNotRun } = checkOutcomes(reports, truths, (key) =>
      key.startsWith('/'),
    );
    return {
      service,
      answers: outcomes.answered + outcomes.failed,
      'not run': outcomes['not-run'],
      unknown: outcomes.unknown + outcomes.broken,
      doubled,
      lost,
      'false not run': falseNotRun,
      'p50 ms': latency.p50,
      'p99 ms': latency.p99,
    };
  });
}

async function runDemo(
  system: DemoSystem,
  generator: LoadGenerator,
  seconds: number,
  report: (line: string) => void,
): Promise<boolean> {
  const zones = [...system.sheet.zones.keys()];
  const step = new ZoneStep(system, zones[zones.length - 1]!, report);
  const scheduleAt = (share: number, run: () => Promise<void>) =>
    setTimeout(
      () => {
        run().catch((error: unknown) => report(String(error)));
      },
      seconds * 1000 * share,
    );
  const timers = [
    scheduleAt(ZONE_OUT_SHARE, () => step.takeOut()),
    scheduleAt(ZONE_BACK_SHARE, () => step.bringBack()),
    setInterval(() => report(progressLine(system)), PROGRESS_INTERVAL_MS),
  ];
  const result = await generator.run();
  timers.forEach(clearInterval);
  const table = outcomeTable(system, result);
  console.table(table);
  const lateCalls = step.lateCalls();
  console.log(
    step.wasAccepted
      ? `calls in ${step.zone} later than 3 s after it was taken out: ${lateCalls}`
      : 'the zone was not taken out of service: the order was rejected',
  );
  const hasViolation = table.some((row) => row.doubled + row.lost + row['false not run'] > 0);
  return !hasViolation && lateCalls === 0;
}

async function main(): Promise<void> {
  const { values } = parseArgs({ options: OPTIONS });
  const seconds = Number(values.seconds);
  const seed = Number(values.seed);
  const system = await DemoSystem.start(await readFile(values.sheet, 'utf8'), seed);
  const start = performance.now();
  const report = (line: string) =>
    console.log(`${((performance.now() - start) / 1000).toFixed(1).padStart(5)} s  ${line}`);
  report(`${system.gateways.length} gateways, ${system.targets.size} targets, seed ${seed}`);
  try {
    const plan = demoPlan(system.sheet, system.baseUrls, seed, seconds, Number(values.rate));
    const hasPassed = await runDemo(system, new LoadGenerator(plan), seconds, report);
    console.log(hasPassed ? 'no violation of the tested guarantees' : 'a guarantee was violated');
    process.exitCode = hasPassed ? 0 : 1;
  } finally {
    await system.stop();
  }
}

main().catch((error: unknown) => {
  console.error(error);
  process.exitCode = 2;
});
