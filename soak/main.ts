import { parseArgs } from 'node:util';

import { readSeed } from './poolProperty';
import { runPools } from './poolRun';
import { runProcesses } from './processRun';

/** Parts of the soak run by name; each returns whether all checks passed. */
const PARTS: Readonly<Record<string, (seed: number, minutes: number) => Promise<boolean>>> = {
  pools: runPools,
  processes: runProcesses,
};

const OPTIONS = {
  minutes: { type: 'string', default: '1' },
  seed: { type: 'string' },
  part: { type: 'string', default: Object.keys(PARTS).join(',') },
} as const;

async function main(): Promise<number> {
  const { values } = parseArgs({ options: OPTIONS });
  const seed = values.seed === undefined ? readSeed() : Number(values.seed);
  let hasPassed = true;
  for (const name of values.part.split(',')) {
    const run = PARTS[name];
    if (run === undefined)
      throw new Error(`--part must be one of ${Object.keys(PARTS).join(', ')}`);
    hasPassed = (await run(seed, Number(values.minutes))) && hasPassed;
  }
  return hasPassed ? 0 : 1;
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
