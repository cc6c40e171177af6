import * as fc from 'fast-check';

import { POLICIES, type PolicyName } from '../src/routing';

import { runDifferential } from './differentialRun';
import { POOL_PROPERTY } from './poolProperty';
import { type TargetFault } from './queueingTarget';

const MS_PER_MINUTE = 60_000;
const DIFFERENTIAL_MS = 10_000;
const FAULTS: readonly TargetFault[] = ['none', 'straggler', 'fail-fast'];

async function printDifferential(seed: number): Promise<void> {
  for (const fault of FAULTS) {
    for (const policy of Object.keys(POLICIES) as PolicyName[]) {
      const report = await runDifferential({ policy, fault, seed, durationMs: DIFFERENTIAL_MS });
      console.log(JSON.stringify({ seed, fault, policy, ...report }));
    }
  }
}

/** Runs one owner's pool through random steps in simulated time; returns whether all checks passed. */
export async function runPools(seed: number, minutes: number): Promise<boolean> {
  console.log(`pool random run: SEED=${seed}, ${minutes} min`);
  const result = await fc.check(POOL_PROPERTY, {
    seed,
    numRuns: Number.MAX_SAFE_INTEGER,
    interruptAfterTimeLimit: minutes * MS_PER_MINUTE,
  });
  console.log(`runs: ${result.numRuns}, ${result.failed ? 'failed' : 'no invariant violated'}`);
  if (result.failed) console.log(fc.defaultReportMessage(result));
  await printDifferential(seed);
  return !result.failed;
}
