import { type FleetView, type OwnedTarget } from '../fleet';
import { type TargetStatus } from '../operators';
import { type Router, type TargetState } from '../routing';

type StateName = TargetStatus['state'];

// Checked in this order; the first matching condition determines the state.
const STATE_CONDITIONS: readonly (readonly [
  StateName,
  (state: TargetState, now: number) => boolean,
])[] = [
  ['out-of-service', (state) => !state.owned.inService],
  ['leaving', (state) => state.isLeaving],
  ['waiting', (state, now) => now < state.owned.usableFrom],
  ['suspected', (state) => state.outlierStatus.isOutlier || state.outage.isActive],
  ['warm', (state) => state.warmUp.isWarm],
  ['cold', (state, now) => now < state.warmUp.coldUntil],
];

function describeTarget(owned: OwnedTarget, router: Router, now: number): TargetStatus {
  const { service, slots, target, zone } = owned.target;
  const state = router.ownedTarget(target);
  const name = state && STATE_CONDITIONS.find(([, matches]) => matches(state, now))?.[0];
  return {
    target,
    service,
    zone,
    slots,
    inFlight: state?.load(now) ?? 0,
    limit: state?.limit(now) ?? 0,
    state: name ?? 'ramping',
  };
}

/** Status of the targets that this host owns. */
export function describeTargets(
  view: FleetView | null,
  router: Router,
  now: number,
): readonly TargetStatus[] {
  return [...(view?.owned.values() ?? [])].map((owned) => describeTarget(owned, router, now));
}
