import * as fc from 'fast-check';

import { PoolScenario } from './poolScenario';
import { POOL_PARTS, POOL_STEPS } from './poolSteps';

/** Invariants that hold in each random run of a pool. */
export const POOL_PROPERTY = fc.asyncProperty(
  POOL_PARTS,
  POOL_STEPS,
  fc.nat(),
  async (parts, steps, seed) => {
    const scenario = new PoolScenario(parts, seed);
    await scenario.run(steps);
    await scenario.heal();
    const before = scenario.report();
    if (before.violations > 0 || before.broken.length > 0 || before.unsettled !== 0) {
      throw new Error(`invariants violated: ${JSON.stringify(before)}`);
    }
    await scenario.run([
      { kind: 'arrive', count: 1, class: 'standard' },
      { kind: 'advance', ms: 600 },
    ]);
    const after = scenario.report();
    if (after.answered !== before.answered + 1) {
      throw new Error(`a healthy pool refused a call: ${JSON.stringify(after)}`);
    }
  },
);

/** Returns the seed in the environment variable SEED, or a random one. */
export function readSeed(): number {
  const given = Number(process.env.SEED);
  return Number.isInteger(given) && process.env.SEED !== undefined
    ? given
    : Math.floor(Math.random() * 2 ** 31);
}
