import { type Random } from '../runtime';

import { type CallNeeds } from './callNeeds';
import { type Candidate } from './candidate';
import { expectedTime } from './expectedTime';
import { type Placement, type PlacementReason } from './placement';

/** Parts of the latency objective that a property of a target is treated as costing. */
const COST_IN_OBJECTIVES = {
  // Bytes between zones cost their users money, about a tenth of what a call is worth to them.
  far: 0.12,
  // A new connection takes one round trip more and work at the target, which its operators price like
  // the bytes of a call between zones.
  unconnected: 0.1,
  // Full failure share; a target that fails every call is used when nothing else is left.
  failure: 4,
  // A probe alone may be wrong in both directions: others are preferred, but it excludes nothing.
  ill: 0.6,
} as const;

// Part of the usual work time that a target counts as slower when all its slots are taken.
const OCCUPANCY_WEIGHT = 0.4;
// Hosts that decide in the same few milliseconds do not all take the same target.
const JITTER = 0.12;
// Behind a queue that makes a call later than this multiple of its objective, it would only make
// those behind it late too; its caller comes back when the queue is gone.
const QUEUE_SHARE = 1.5;
// A call is sent only where its answer is expected within this share of the time left.
const USABLE_TIME_SHARE: readonly number[] = [1.5, 1];

// A service whose full targets are slower by less than this uses all slots without waiting.
const HARMLESS_SLOWDOWN = 1.15;
// A call waits only while an answer of a full target would still come within the objective; work
// varies by about a third.
const FULL_TARGET_MARGIN = 1.2;

// Longest wait beyond the objective, in objectives: a late answer is worth a tenth of one in time, and
// a caller that is refused sooner still has time to come back at another host.
const LATE_WAIT_SHARE = 0.5;

interface Rated {
  readonly candidate: Candidate;
  readonly expectedMs: number;
  readonly cost: number;
}

/** Whether a slot is free that slows nothing down. */
function isSpare({ load, slots }: Candidate, { fullSlowdown }: CallNeeds): boolean {
  const isKept = fullSlowdown > HARMLESS_SLOWDOWN && slots > 1;
  return load + 1 < slots || (!isKept && load < slots);
}

function rate(candidate: Candidate, needs: CallNeeds, random: Random): Rated {
  const expectedMs = expectedTime(candidate, needs);
  const penalties =
    (candidate.isNear ? 0 : COST_IN_OBJECTIVES.far) +
    (candidate.isConnected ? 0 : COST_IN_OBJECTIVES.unconnected) +
    candidate.failureShare * COST_IN_OBJECTIVES.failure +
    (candidate.isIll ? COST_IN_OBJECTIVES.ill : 0);
  // Among targets that answer equally soon, the emptier one leaves more room for a change of pace.
  const occupancy = (candidate.load / candidate.slots) * needs.workMs * OCCUPANCY_WEIGHT;
  // The call in the last slot slows down those in the others, which are half done on average.
  const harm = isSpare(candidate, needs)
    ? 0
    : ((needs.fullSlowdown - 1) * needs.workMs * (candidate.slots - 1)) / 2;
  const time = (expectedMs + occupancy + harm) * (1 + JITTER * random.next());
  return { candidate, expectedMs, cost: time + penalties * needs.objectiveMs };
}

// Waiting for a free slot of any target is better than the queue of one; it ends when only an answer
// of a full target can still come in time.
function mayWaitForSlot({ mayWait, objectiveLeftMs, workMs, fullSlowdown }: CallNeeds): boolean {
  return mayWait && objectiveLeftMs > workMs * fullSlowdown * FULL_TARGET_MARGIN;
}

function reasonOf(best: Rated, needs: CallNeeds): PlacementReason {
  if (best.expectedMs > needs.objectiveLeftMs) return 'leastBad';
  return best.candidate.isNear ? 'quickestNear' : 'quickestFar';
}

// A call that is late in any case takes only slots that slow nothing down and that no call in time
// waits for.
function mayWaitLate({ objectiveLeftMs, objectiveMs, leftMs, workMs }: CallNeeds): boolean {
  return objectiveLeftMs > -LATE_WAIT_SHARE * objectiveMs && leftMs > workMs;
}

/**
 * Places a call at the target with the least expected time, as corrected for distance, failures
 * and chance. Cold targets and those that may have started again take no part here.
 */
export function chooseTarget(
  candidates: readonly Candidate[],
  needs: CallNeeds,
  random: Random,
): Placement {
  let best: Rated | null = null;
  let hasCold = false;
  for (const candidate of candidates) {
    if (candidate.isCold) hasCold = true;
    if (candidate.isCold || candidate.isUnconfirmed) continue;
    const rated = rate(candidate, needs, random);
    if (best === null || rated.cost < best.cost) best = rated;
  }
  if (best === null) {
    return { kind: 'wait', reason: hasCold ? 'allCold' : 'noTarget', best: null };
  }
  const waits = { kind: 'wait', reason: 'overloaded', best: best.candidate.target } as const;
  const refusal = { ...waits, kind: 'refuse' } as const;
  const isLate = best.expectedMs > needs.objectiveLeftMs;
  const isQueued = best.candidate.load >= best.candidate.slots;
  const isOnSpare = isSpare(best.candidate, needs);
  const hasSlot = isOnSpare && !isLate;
  if ((!hasSlot || needs.isBehind) && mayWaitForSlot(needs)) return waits;
  const isHarmful = !isOnSpare && !isQueued && needs.fullSlowdown > HARMLESS_SLOWDOWN;
  const mustYield = isLate ? needs.isBehind || !isOnSpare : isHarmful && needs.rank > 0;
  if (mustYield && needs.mayWait) {
    if (mayWaitLate(needs)) return waits;
    if (isLate) return refusal;
  }
  if (isQueued && best.expectedMs > Math.max(needs.objectiveLeftMs, needs.workMs) * QUEUE_SHARE)
    return refusal;
  const share = USABLE_TIME_SHARE[Math.min(needs.rank, 1)]!;
  if (best.expectedMs > needs.leftMs * share) return refusal;
  return {
    kind: 'send',
    target: best.candidate.target,
    expectedMs: best.expectedMs,
    reason: reasonOf(best, needs),
    hasRoom: hasSlot && !needs.isBehind,
  };
}
