import { parseArgs } from 'node:util';

import { runSoak, type SoakResult } from './processes/soakRun';

const OPTIONS = {
  minutes: { type: 'string', default: '1' },
  seed: { type: 'string' },
} as const;
const SEED_RANGE = 2 ** 31;

function printResult({ load, judgements, faults }: SoakResult): void {
  const kinds = Object.entries(load.phases.soak ?? {});
  console.table(
    kinds.map(([kind, { outcomes, latency }]) => ({
      kind,
      ...outcomes,
      p50: latency.p50,
      p99: latency.p99,
    })),
  );
  console.table(judgements);
  console.log(`faults: ${[...faults].map(([name, count]) => `${name} ${count}`).join(', ')}`);
}

async function main(): Promise<number> {
  const { values } = parseArgs({ options: OPTIONS });
  const seed = Number(values.seed ?? 1 + Math.floor(Math.random() * SEED_RANGE));
  console.log(`seed ${seed}`);
  const start = performance.now();
  const result = await runSoak(seed, Number(values.minutes), (line) =>
    console.log(`${((performance.now() - start) / 1000).toFixed(1).padStart(6)} s  ${line}`),
  );
  printResult(result);
  const kept = Object.values(result.judgements).every(
    ({ doubled, lost, falseNotRun }) => doubled + lost + falseNotRun === 0,
  );
  console.log(kept ? 'passed' : `failed; repeat with --seed ${seed}`);
  return kept ? 0 : 1;
}

main().then(
  (code) => {
    process.exitCode = code;
  },
  (error: unknown) => {
    console.error(error);
    process.exitCode = 2;
  },
);
