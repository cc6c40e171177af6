import { type Random } from '../runtime';

import { type CallRequirements } from './callRequirements';
import { type Candidate } from './candidate';
import { expectedTime, paceConfidence } from './expectedTime';
import { type Placement, type PlacementReason } from './placement';

/** Penalties of a target, each as a fraction of the latency objective. */
const COST_IN_OBJECTIVES = {
  // Cross-zone traffic is billed; it costs about a tenth of the value of a call.
  crossZone: 0.12,
  // A new connection takes another round trip and work at the target, which its operators charge
  // like the bytes of a cross-zone call.
  newConnection: 0.1,
  // For a target that this host does not use and has no recent report of. The mean of its likely paces is
  // bearable, but one target in four is several times slower, and the call is then late.
  unknownPace: 0.3,
  // At a failure share of 1; a target that fails every call is still used if it is the only one.
  failure: 4,
  // A health check can be wrong either way, so an unhealthy target is less preferred, not excluded.
  unhealthy: 0.6,
} as const;

// Cost of a target whose slots are all taken, as a fraction of the usual service time.
const OCCUPANCY_WEIGHT = 0.4;
// Relative random cost that keeps hosts that decide within the same few milliseconds from all
// choosing the same target.
const JITTER = 0.12;
// A call whose expected time in the queue of a target exceeds this multiple of its objective is
// refused: it would only delay the calls behind it, and its caller can come back after the queue
// has drained.
const MAX_QUEUE_TIME_FACTOR = 1.5;
// A call is sent only if its expected time is within a multiple of the time left: the first of these for
// the most urgent calls, the second for the least urgent ones, and values between them for the others.
const MAX_EXPECTED_TIME_FACTOR = { mostUrgent: 1.5, leastUrgent: 1 } as const;

// Below this slowdown of full targets, a service uses all slots without waiting.
const NEGLIGIBLE_SLOWDOWN = 1.15;
// A call waits only while a full target could still answer within the objective; service times
// vary by about a third.
const FULL_TARGET_TIME_MARGIN = 1.2;

// Maximum wait beyond the objective, as a fraction of it. A late answer has a tenth of the value of
// one in time, and a caller that is refused earlier still has time to try another host.
const MAX_LATE_WAIT_OBJECTIVES = 0.5;

// A call waits for the limit of a target to allow it for at most this share of its objective.
const MAX_LIMITED_WAIT_OBJECTIVES = 1 / 8;

function maxExpectedTimeFactor(rank: number): number {
  const { mostUrgent, leastUrgent } = MAX_EXPECTED_TIME_FACTOR;
  return mostUrgent + (leastUrgent - mostUrgent) * rank;
}

interface RatedCandidate {
  readonly candidate: Candidate;
  readonly expectedMs: number;
  readonly cost: number;
}

/** Whether the target has a free slot whose use does not slow down its other calls. */
function hasUncontendedSlot(
  { load, slots }: Candidate,
  { lastSlotSlowdown }: CallRequirements,
): boolean {
  const isLastSlotReserved = lastSlotSlowdown > NEGLIGIBLE_SLOWDOWN && slots > 1;
  return load + 1 < slots || (!isLastSlotReserved && load < slots);
}

// Targets of other zones are reported on only when they change, and their distance costs already.
function unknownPaceShare(candidate: Candidate): number {
  return candidate.isUsed || !candidate.isSameZone ? 0 : 1 - paceConfidence(candidate);
}

function rateCandidate(
  candidate: Candidate,
  requirements: CallRequirements,
  random: Random,
): RatedCandidate {
  const expectedMs = expectedTime(candidate, requirements);
  const penalties =
    (candidate.isSameZone ? 0 : COST_IN_OBJECTIVES.crossZone) +
    (candidate.isConnected ? 0 : COST_IN_OBJECTIVES.newConnection) +
    unknownPaceShare(candidate) * COST_IN_OBJECTIVES.unknownPace +
    candidate.failureShare * COST_IN_OBJECTIVES.failure +
    (candidate.isUnhealthy ? COST_IN_OBJECTIVES.unhealthy : 0);
  // Among targets with the same expected time, the emptier one tolerates a change of pace better.
  const occupancy = (candidate.load / candidate.slots) * requirements.workMs * OCCUPANCY_WEIGHT;
  // A call in the last slot slows down those in the other slots, which are half done on average.
  const slowdownCost = hasUncontendedSlot(candidate, requirements)
    ? 0
    : ((requirements.lastSlotSlowdown - 1) * requirements.workMs * (candidate.slots - 1)) / 2;
  const time = (expectedMs + occupancy + slowdownCost) * (1 + JITTER * random.next());
  return { candidate, expectedMs, cost: time + penalties * requirements.objectiveMs };
}

// Waiting at this host for a free slot of any target beats the queue of a single target. The wait
// ends when only a call that is sent at once, to a full target, can still be in time.
function mayWaitForSlot({
  mayWait,
  objectiveLeftMs,
  workMs,
  lastSlotSlowdown,
}: CallRequirements): boolean {
  return mayWait && objectiveLeftMs > workMs * lastSlotSlowdown * FULL_TARGET_TIME_MARGIN;
}

function placementReason(best: RatedCandidate, requirements: CallRequirements): PlacementReason {
  if (best.expectedMs > requirements.objectiveLeftMs) return 'leastBad';
  return best.candidate.isSameZone ? 'quickestNear' : 'quickestFar';
}

// A call that will be late anyway may only take slots that slow down no other call and that no call
// in time waits for.
function mayWaitLate({ objectiveLeftMs, objectiveMs, leftMs, workMs }: CallRequirements): boolean {
  return objectiveLeftMs > -MAX_LATE_WAIT_OBJECTIVES * objectiveMs && leftMs > workMs;
}

/**
 * Chooses the target with the lowest cost: expected time plus penalties for distance, failures and
 * unhealthy targets, and random jitter. Cold targets, those that may have restarted and those whose
 * limit is used up are skipped.
 */
export function chooseTarget(
  candidates: readonly Candidate[],
  requirements: CallRequirements,
  random: Random,
): Placement {
  let best: RatedCandidate | null = null;
  let hasCold = false;
  let hasUnchecked = false;
  let limitedForMs: number | null = null;
  for (const candidate of candidates) {
    if (candidate.isCold) hasCold = true;
    if (candidate.isUnchecked) hasUnchecked = true;
    if (candidate.isCold || candidate.isUnconfirmed) continue;
    if (candidate.limitedForMs > 0) {
      limitedForMs = Math.min(limitedForMs ?? Infinity, candidate.limitedForMs);
      continue;
    }
    const rated = rateCandidate(candidate, requirements, random);
    if (best === null || rated.cost < best.cost) best = rated;
  }
  if (best === null) {
    if (limitedForMs !== null && !hasCold) {
      const mayWait = limitedForMs <= requirements.objectiveMs * MAX_LIMITED_WAIT_OBJECTIVES;
      return { kind: mayWait ? 'wait' : 'refuse', reason: 'limited', best: null };
    }
    const withoutCold = hasUnchecked ? 'unchecked' : 'noTarget';
    return { kind: 'wait', reason: hasCold ? 'allCold' : withoutCold, best: null };
  }
  const wait = { kind: 'wait', reason: 'overloaded', best: best.candidate.target } as const;
  const refusal = { ...wait, kind: 'refuse' } as const;
  const isLate = best.expectedMs > requirements.objectiveLeftMs;
  const isQueued = best.candidate.load >= best.candidate.slots;
  const isUncontended = hasUncontendedSlot(best.candidate, requirements);
  const hasTimelySlot = isUncontended && !isLate;
  if ((!hasTimelySlot || requirements.hasCallAhead) && mayWaitForSlot(requirements)) return wait;
  const isSlowingOthers =
    !isUncontended && !isQueued && requirements.lastSlotSlowdown > NEGLIGIBLE_SLOWDOWN;
  const mustYield = isLate
    ? requirements.hasCallAhead || !isUncontended
    : isSlowingOthers && requirements.rank > 0;
  if (mustYield && requirements.mayWait) {
    if (mayWaitLate(requirements)) return wait;
    if (isLate) return refusal;
  }
  if (
    isQueued &&
    best.expectedMs >
      Math.max(requirements.objectiveLeftMs, requirements.workMs) * MAX_QUEUE_TIME_FACTOR
  )
    return refusal;
  if (best.expectedMs > requirements.leftMs * maxExpectedTimeFactor(requirements.rank))
    return refusal;
  return {
    kind: 'send',
    target: best.candidate.target,
    expectedMs: best.expectedMs,
    reason: placementReason(best, requirements),
    hasFreeSlot: isUncontended && !requirements.hasCallAhead,
    hasRoom: hasTimelySlot && !requirements.hasCallAhead,
  };
}
