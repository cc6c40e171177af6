import { type Target } from '../catalog';

import { identityKey } from './identityKey';
import { type TargetReport } from './targetReport';
import { type TargetStatistics } from './targetStatistics';
import { extendAllowance } from './targetWishes';

/** Pace assumed for a target without reports, in percent of the usual latency. */
export const USUAL_PACE_PERCENT = 100;

// Weight of a result in the moving average of failures: about the last eight results count.
const FAILURE_SMOOTHING_WEIGHT = 0.12;
// Failures are discounted over time, so that a target that failed is used again after some seconds.
const FAILURE_HALF_LIFE_MS = 2000;

/** Statistics of a target that is announced, or announced again after a restart. */
export function initialStatistics(
  target: Target,
  previous: TargetStatistics | undefined,
  now: number,
): TargetStatistics {
  return {
    id: target.id,
    key: previous?.key ?? identityKey(target.id),
    service: target.service,
    slots: target.slots,
    startedAt: target.startedAt,
    unattributedCalls: 0,
    loadAt: -Infinity,
    pace: USUAL_PACE_PERCENT,
    paceAt: -Infinity,
    ownInFlight: previous?.ownInFlight ?? 0,
    coldUntil: target.coldUntil,
    callLimit: Infinity,
    callLimitAt: -Infinity,
    quietUntil: -Infinity,
    callAllowance: Infinity,
    failureShare: 0,
    failureAt: now,
    confirmedHealthyAt: -Infinity,
    announcedAt: now,
    // A restarted target must first be confirmed healthy by a health check.
    lostAt: previous === undefined ? 0 : now,
    isUnhealthy: false,
  };
}

/** Share of recent calls that failed, decayed by the time since the last result. */
export function decayedFailureShare(target: TargetStatistics, now: number): number {
  return target.failureShare * 0.5 ** ((now - target.failureAt) / FAILURE_HALF_LIFE_MS);
}

function recordResult(target: TargetStatistics, failure: number, now: number): void {
  const share = decayedFailureShare(target, now);
  target.failureShare = share + FAILURE_SMOOTHING_WEIGHT * (failure - share);
  target.failureAt = now;
}

function recordHealthy(target: TargetStatistics, observedAt: number): void {
  target.confirmedHealthyAt = Math.max(target.confirmedHealthyAt, observedAt);
}

/** Applies what a report says of the pace, the cold period and the health of a target. */
export function applyObservation(
  target: TargetStatistics,
  report: TargetReport,
  observedAt: number,
  now: number,
): void {
  if (report.pace !== null && observedAt > target.paceAt) {
    target.pace = report.pace;
    target.paceAt = observedAt;
  }
  if (report.coldLeft !== null)
    target.coldUntil = Math.max(target.coldUntil, observedAt + report.coldLeft);
  switch (report.observation) {
    case 'answer':
      recordHealthy(target, observedAt);
      recordResult(target, 0, now);
      if (observedAt > target.quietUntil) extendAllowance(target);
      break;
    case 'probe':
      recordHealthy(target, observedAt);
      target.isUnhealthy = false;
      break;
    case 'ill':
      target.isUnhealthy = true;
      break;
    case 'failure':
      recordResult(target, 1, now);
      break;
    case 'refusal':
      // The target is up, but only looks emptier than others because it runs nothing.
      recordHealthy(target, observedAt);
      recordResult(target, 1, now);
      break;
    default:
      target.lostAt = Math.max(target.lostAt, observedAt);
  }
}
