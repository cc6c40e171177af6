import { compareFault } from '../harness/faultRun';
import { type Measurement } from '../measurement';

const COLD_MS = 2000;

/** One target crashes, and returns cold; calls beyond its cold limit take 10 times longer. */
export const coldStart: Measurement = {
  description: 'one target restarts and is cold for 2 s, without and with, under each policy',
  run: (options, progress) =>
    compareFault(
      options,
      {
        name: 'cold-start',
        coldMs: COLD_MS,
        apply: async (fleet, target) => {
          await fleet.targets.configure(target, { coldMs: COLD_MS, coldLimit: 1 });
          await fleet.targets.act(target, 'crash');
        },
      },
      progress,
    ),
};
