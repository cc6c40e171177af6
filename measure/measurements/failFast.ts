import { compareFault } from '../harness/faultRun';
import { type Measurement } from '../measurement';

/** One target of the largest service answers 500 at once. */
export const failFast: Measurement = {
  description: 'one target answering 500 at once, without and with, under each policy',
  run: (options, progress) =>
    compareFault(
      options,
      {
        name: 'fail-fast',
        apply: (fleet, target) => fleet.targets.configure(target, { failing: true }),
      },
      progress,
    ),
};
