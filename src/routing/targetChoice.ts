import { type CallTraits } from './callTraits';
import { type TargetState } from './targetState';

/** A chosen target with the reason for the choice. */
export interface TargetChoice {
  readonly state: TargetState;
  readonly reason: 'least loaded' | 'trial of a suspected target' | 'trial after an outage';
}

/** The open targets of a pool, grouped by which calls they may receive. */
export interface TargetGroups {
  readonly inRotation: readonly TargetState[];
  readonly ejected: readonly TargetState[];
  readonly unreachable: readonly TargetState[];
}

/** Groups the open targets; at most half of the reachable ones are ejected as outliers. */
export function groupTargets(targets: readonly TargetState[]): TargetGroups {
  const unreachable = targets.filter((state) => state.outage.isActive);
  const reachable = targets.filter((state) => !state.outage.isActive);
  const ejected = reachable
    .filter((state) => state.outlierStatus.isOutlier)
    .sort((left, right) => right.outlierStatus.severity - left.outlierStatus.severity)
    .slice(0, Math.floor(reachable.length / 2));
  const inRotation = reachable.filter((state) => !ejected.includes(state));
  return { inRotation, ejected, unreachable };
}

function canRun(state: TargetState, call: CallTraits, now: number): boolean {
  if (state.load(now) >= state.limit(now)) return false;
  return call.suspect === null || !state.hasSuspectCall();
}

function leastLoaded(
  targets: readonly TargetState[],
  call: CallTraits,
  now: number,
  start: number,
): TargetState | null {
  let best: TargetState | null = null;
  let bestShare = Number.POSITIVE_INFINITY;
  for (let index = 0; index < targets.length; index += 1) {
    const state = targets[(start + index) % targets.length]!;
    if (!canRun(state, call, now)) continue;
    const avoidPenalty = call.avoid.has(state.target.target) ? 1 : 0;
    const share = avoidPenalty + state.load(now) / state.limit(now);
    if (share >= bestShare) continue;
    best = state;
    bestShare = share;
    if (share === 0) break;
  }
  return best;
}

function canTry(state: TargetState, call: CallTraits, now: number): boolean {
  return state.inFlightCalls.size === 0 && state.heldSlots === 0 && canRun(state, call, now);
}

/**
 * The target for a call; null when none is free. `start` varies the order among targets of equal
 * load. Trial calls come first, since a target that recovers adds capacity.
 */
export function chooseTarget(
  groups: TargetGroups,
  call: CallTraits,
  now: number,
  start: number,
): TargetChoice | null {
  const hasOnlyUnreachable = groups.inRotation.length === 0;
  if (call.idempotent || hasOnlyUnreachable) {
    const unreachable = groups.unreachable.find(
      (state) =>
        state.outage.isTrialDue(now) &&
        canTry(state, call, now) &&
        (hasOnlyUnreachable || !call.avoid.has(state.target.target)),
    );
    if (unreachable !== undefined) return { state: unreachable, reason: 'trial after an outage' };
  }
  if (call.idempotent && call.avoid.size === 0) {
    const ejected = groups.ejected.find(
      (state) => state.outlierStatus.isTrialDue(now) && canTry(state, call, now),
    );
    if (ejected !== undefined) return { state: ejected, reason: 'trial of a suspected target' };
  }
  const state = leastLoaded(groups.inRotation, call, now, start);
  if (call.idempotent && state !== null && call.avoid.has(state.target.target)) {
    // A slow target is a better second choice than the one that does not answer.
    const others = groups.ejected.filter(({ target }) => !call.avoid.has(target.target));
    const other = leastLoaded(others, call, now, 0);
    if (other !== null) return { state: other, reason: 'trial of a suspected target' };
  }
  return state === null ? null : { state, reason: 'least loaded' };
}
