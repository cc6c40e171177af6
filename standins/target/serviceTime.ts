import { type Random } from '../../src/runtime';

import { type TargetSettings } from './targetSettings';

/** Draws a service time in milliseconds: fixed, or log-normal around the median. */
export function drawServiceTime(settings: TargetSettings, random: Random): number {
  const median = settings.serviceTimeMs * settings.stragglerFactor;
  if (settings.spread === 0) return median;
  // Box-Muller transform; 1 - next() keeps the logarithm finite.
  const normal =
    Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
  return median * Math.exp(settings.spread * normal);
}
