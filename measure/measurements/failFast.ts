import { compareFault } from '../harness/faultRun';
import { type Measurement } from '../measurement';

/** One target of the largest service answers 500 immediately. */
export const failFast: Measurement = {
  description: 'one target answering 500 immediately, without and with the fault, by policy',
  run: (options, onProgress) =>
    compareFault(
      options,
      {
        name: 'fail-fast',
        apply: (fleet, target) => fleet.targets.configure(target, { failing: true }),
      },
      onProgress,
    ),
};
