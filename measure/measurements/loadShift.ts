import { NO_FAULT, runFault } from '../harness/faultRun';
import { type Measurement, type ResultRow } from '../measurement';

const CALM_LOAD = 0.2;
const BURST_LOAD = 0.9;
const CALM_SECONDS = 0.4;
const BURST_SECONDS = 0.2;

/** Load that alternates between 20% and 90% of the capacity more than once a second. */
export const loadShift: Measurement = {
  description: 'load alternating between 20% and 90% of the capacity, by policy',
  run: async (options, onProgress) => {
    const rows: ResultRow[] = [];
    const rounds = Math.ceil(options.seconds / (CALM_SECONDS + BURST_SECONDS));
    for (const policy of options.policy) {
      onProgress(`policy ${policy}`);
      const measured = await runFault(options, policy, NO_FAULT, (rate) =>
        Array.from({ length: rounds }).flatMap(() => [
          { name: 'calm', seconds: CALM_SECONDS, callsPerSecond: rate(CALM_LOAD) },
          { name: 'burst', seconds: BURST_SECONDS, callsPerSecond: rate(BURST_LOAD) },
        ]),
      );
      rows.push(...measured);
    }
    return rows;
  },
};
