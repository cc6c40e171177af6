import { SeededRandom } from '../../src/runtime';

import { type CallKind, type LoadPlan } from './plan';

/** A call of the schedule. */
export interface Arrival {
  /** Milliseconds after the start. */
  readonly at: number;
  readonly phase: string;
  readonly kind: CallKind;
  readonly base: string;
  /** Unique key: the path behind the service segment, or the Idempotency-Key. */
  readonly number: number;
}

function pickKind(kinds: readonly CallKind[], share: number): CallKind {
  const total = kinds.reduce((sum, { weight }) => sum + weight, 0);
  let left = share * total;
  for (const kind of kinds) {
    left -= kind.weight;
    if (left < 0) return kind;
  }
  return kinds[kinds.length - 1]!;
}

/** The whole schedule: Poisson arrivals at the rate of each phase, repeatable from the seed. */
export function scheduleArrivals(plan: LoadPlan): readonly Arrival[] {
  const random = new SeededRandom(plan.seed);
  const arrivals: Arrival[] = [];
  let start = 0;
  for (const { name, seconds, callsPerSecond } of plan.phases) {
    const end = start + seconds * 1000;
    let at = start;
    while (callsPerSecond > 0) {
      at += (-Math.log(1 - random.next()) * 1000) / callsPerSecond;
      if (at >= end) break;
      arrivals.push({
        at,
        phase: name,
        kind: pickKind(plan.kinds, random.next()),
        base: plan.bases[random.integer(plan.bases.length)]!,
        number: arrivals.length,
      });
    }
    start = end;
  }
  return arrivals;
}
