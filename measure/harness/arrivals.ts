import { SeededRandom } from '../../src/runtime';

import { type CallKind, type LoadPlan } from './plan';

/** A scheduled call. */
export interface Arrival {
  /** Scheduled time in milliseconds after the start of the run. */
  readonly offsetMs: number;
  readonly phase: string;
  readonly kind: CallKind;
  readonly baseUrl: string;
  /** Makes the call's key unique: the path after the service segment, or the Idempotency-Key. */
  readonly sequence: number;
}

function pickKind(kinds: readonly CallKind[], fraction: number): CallKind {
  const total = kinds.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = fraction * total;
  for (const kind of kinds) {
    remaining -= kind.weight;
    if (remaining < 0) return kind;
  }
  return kinds[kinds.length - 1]!;
}

/** Builds the schedule: Poisson arrivals at the rate of each phase, reproducible from the seed. */
export function scheduleArrivals(plan: LoadPlan): readonly Arrival[] {
  const random = new SeededRandom(plan.seed);
  const arrivals: Arrival[] = [];
  let phaseStart = 0;
  for (const { name, seconds, callsPerSecond } of plan.phases) {
    const phaseEnd = phaseStart + seconds * 1000;
    let offsetMs = phaseStart;
    while (callsPerSecond > 0) {
      offsetMs += (-Math.log(1 - random.next()) * 1000) / callsPerSecond;
      if (offsetMs >= phaseEnd) break;
      arrivals.push({
        offsetMs,
        phase: name,
        kind: pickKind(plan.kinds, random.next()),
        baseUrl: plan.baseUrls[random.integer(plan.baseUrls.length)]!,
        sequence: arrivals.length,
      });
    }
    phaseStart = phaseEnd;
  }
  return arrivals;
}
