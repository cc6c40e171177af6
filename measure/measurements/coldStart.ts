import { compareFault } from '../harness/faultRun';
import { type Measurement } from '../measurement';

const COLD_MS = 2000;

/** One target crashes and restarts cold; calls beyond its cold limit take 10 times as long. */
export const coldStart: Measurement = {
  description: 'one target restarting and cold for 2 s, without and with the fault, by policy',
  run: (options, onProgress) =>
    compareFault(
      options,
      {
        name: 'cold-start',
        coldMs: COLD_MS,
        apply: async (fleet, target) => {
          await fleet.targets.configure(target, { coldMs: COLD_MS, coldLimit: 1 });
          await fleet.targets.trigger(target, 'crash');
        },
      },
      onProgress,
    ),
};
