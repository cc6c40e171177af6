import { type CallTraits } from './callTraits';
import { type TargetState } from './targetState';

/** A target with the reason for its choice. */
export interface TargetChoice {
  readonly state: TargetState;
  readonly reason: 'least loaded' | 'trial of a suspected target' | 'trial after an outage';
}

/** The usable targets of a pool, sorted by what they may be given. */
export interface TargetGroups {
  readonly trusted: readonly TargetState[];
  readonly suspected: readonly TargetState[];
  readonly out: readonly TargetState[];
}

/** Groups the open targets; at most half of them are held back on suspicion. */
export function groupTargets(targets: readonly TargetState[]): TargetGroups {
  const out = targets.filter((state) => state.outage.active);
  const connected = targets.filter((state) => !state.outage.active);
  const suspected = connected
    .filter((state) => state.suspicion.active)
    .sort((left, right) => right.suspicion.degree - left.suspicion.degree)
    .slice(0, Math.floor(connected.length / 2));
  const trusted = connected.filter((state) => !suspected.includes(state));
  return { trusted, suspected, out };
}

function fits(state: TargetState, call: CallTraits, now: number): boolean {
  if (state.load(now) >= state.limit(now)) return false;
  return call.suspect === null || !state.runsSuspect();
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
    if (!fits(state, call, now)) continue;
    const avoided = call.avoid.has(state.target.target) ? 1 : 0;
    const share = avoided + state.load(now) / state.limit(now);
    if (share >= bestShare) continue;
    best = state;
    bestShare = share;
    if (share === 0) break;
  }
  return best;
}

function mayTry(state: TargetState, call: CallTraits, now: number): boolean {
  return state.flights.size === 0 && state.held === 0 && fits(state, call, now);
}

/**
 * The target for a call; null when none is free. `start` varies the order among equals.
 * Trial calls come first, since a target that returns adds capacity.
 */
export function chooseTarget(
  groups: TargetGroups,
  call: CallTraits,
  now: number,
  start: number,
): TargetChoice | null {
  const onlyOut = groups.trusted.length === 0;
  if (call.idempotent || onlyOut) {
    const out = groups.out.find(
      (state) =>
        state.outage.trialIsDue(now) &&
        mayTry(state, call, now) &&
        (onlyOut || !call.avoid.has(state.target.target)),
    );
    if (out !== undefined) return { state: out, reason: 'trial after an outage' };
  }
  if (call.idempotent && call.avoid.size === 0) {
    const suspected = groups.suspected.find(
      (state) => state.suspicion.trialIsDue(now) && mayTry(state, call, now),
    );
    if (suspected !== undefined) return { state: suspected, reason: 'trial of a suspected target' };
  }
  const state = leastLoaded(groups.trusted, call, now, start);
  return state === null ? null : { state, reason: 'least loaded' };
}
