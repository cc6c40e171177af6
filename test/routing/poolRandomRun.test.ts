import * as fc from 'fast-check';

import { POOL_PROPERTY, readSeed } from '../../soak/poolProperty';

const RUNS = 150;

// Guards against lost waiters, calls beyond a limit, and calls to targets that must not get any.
test('a pool keeps its invariants under random arrivals and faults', async () => {
  const seed = readSeed();
  process.stdout.write(`pool random run: SEED=${seed}\n`);
  await fc.assert(POOL_PROPERTY, { seed, numRuns: RUNS, interruptAfterTimeLimit: 20_000 });
});
