import { type Phase } from './plan';

const FIRST_LOAD = 0.1;
const RAMP_SECONDS = 3;

/** Name of the phases before the measured ones. */
export const WARM_UP = 'warm-up';

/**
 * Low load until cold targets are warm and the code is compiled, then the load of the measurement.
 * A start at full load with cold targets would measure the queue of that start.
 */
export function warmUpPhases(
  rate: (load: number) => number,
  load: number,
  coldMs: number,
): readonly Phase[] {
  return [
    {
      name: WARM_UP,
      seconds: RAMP_SECONDS + coldMs / 1000,
      callsPerSecond: rate(Math.min(FIRST_LOAD, load)),
    },
    { name: WARM_UP, seconds: RAMP_SECONDS, callsPerSecond: rate(load) },
  ];
}

/** Total length of some phases, in milliseconds. */
export function lengthOf(phases: readonly Phase[]): number {
  return phases.reduce((sum, { seconds }) => sum + seconds, 0) * 1000;
}
