import { compareFault } from '../harness/faultRun';
import { type Measurement } from '../measurement';

const STRAGGLER_FACTOR = 10;

/** One target of the largest service is 10 times slower. */
export const stragglers: Measurement = {
  description: 'one target 10 times slower, without and with the fault, by policy',
  run: (options, onProgress) =>
    compareFault(
      options,
      {
        name: 'straggler',
        apply: (fleet, target) => fleet.targets.configure(target, { stragglerFactor: STRAGGLER_FACTOR }),
      },
      onProgress,
    ),
};
