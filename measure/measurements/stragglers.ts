import { compareFault } from '../harness/faultRun';
import { type Measurement } from '../measurement';

const FACTOR = 10;

/** One target of the largest service answers 10 times slower. */
export const stragglers: Measurement = {
  description: 'one target 10 times slower, without and with, under each policy',
  run: (options, progress) =>
    compareFault(
      options,
      {
        name: 'straggler',
        apply: (fleet, target) => fleet.targets.configure(target, { stragglerFactor: FACTOR }),
      },
      progress,
    ),
};
