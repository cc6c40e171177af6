import { type Phase } from './plan';

const WARM_UP_LOAD = 0.1;
const WARM_UP_PHASE_SECONDS = 3;

/** Name of the phases that precede the measured ones. */
export const WARM_UP = 'warm-up';

/**
 * Low load until cold targets are warm and the code is JIT-compiled, then the measured load.
 * Starting at full load with cold targets would measure the queue that builds up at the start.
 */
export function warmUpPhases(
  rate: (load: number) => number,
  load: number,
  coldMs: number,
): readonly Phase[] {
  return [
    {
      name: WARM_UP,
      seconds: WARM_UP_PHASE_SECONDS + coldMs / 1000,
      callsPerSecond: rate(Math.min(WARM_UP_LOAD, load)),
    },
    { name: WARM_UP, seconds: WARM_UP_PHASE_SECONDS, callsPerSecond: rate(load) },
  ];
}

/** Total duration of the phases in milliseconds. */
export function totalDurationMs(phases: readonly Phase[]): number {
  return phases.reduce((sum, { seconds }) => sum + seconds, 0) * 1000;
}
