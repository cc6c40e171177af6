import { type TargetReport } from './targetReport';
import { type TargetStatistics } from './targetStatistics';

// Only an answer to a call shows that a limit has ended, so a target is called from time to time.
const MIN_CALL_LIMIT = 0.2;
// A limit is forgotten when it was not stated for this long.
const CALL_LIMIT_LIFETIME_MS = 60_000;
// A stated time without calls is bounded, so that a wrong value does not take a target out for good.
const MAX_QUIET_MS = 60 * 60 * 1000;
// Growth of the calls in flight at a target that has asked for none, for each answer afterwards.
const ALLOWANCE_GROWTH = 2;
// A call at a target that takes few may end at any moment.
const FULL_ALLOWANCE_DELAY_MS = 1;

/** Records that a target wants no calls from this host for some time. */
export function recordQuiet(target: TargetStatistics, quietMs: number, now: number): void {
  if (quietMs <= 0) return;
  const until = now + Math.min(quietMs, MAX_QUIET_MS);
  target.quietUntil = Math.max(target.quietUntil, until);
  target.callAllowance = 1;
}

/**
 * Time in milliseconds for which a target wants no calls from this host, or no more than run;
 * Infinity for one that is leaving.
 */
export function quietForMs(target: TargetStatistics, now: number): number {
  const isAllowanceUsed = target.ownInFlight >= target.callAllowance;
  return Math.max(target.quietUntil - now, isAllowanceUsed ? FULL_ALLOWANCE_DELAY_MS : 0);
}

/** Allows more calls at a target that has answered one after its time without calls. */
export function extendAllowance(target: TargetStatistics): void {
  const extended = target.callAllowance * ALLOWANCE_GROWTH;
  target.callAllowance = extended > target.slots ? Infinity : extended;
}

/** Records the limit of calls that a report states, if it states one. */
export function recordCallLimit(
  target: TargetStatistics,
  { callLimit }: TargetReport,
  observedAt: number,
): void {
  if (callLimit === null || observedAt < target.callLimitAt) return;
  target.callLimit = callLimit;
  target.callLimitAt = observedAt;
}

/**
 * Calls per second that a target takes from all hosts; Infinity without a limit. A limit that was
 * not stated again for some time is no longer known to hold.
 */
export function knownCallLimit({ callLimit, callLimitAt }: TargetStatistics, now: number): number {
  const isKnown = now - callLimitAt < CALL_LIMIT_LIFETIME_MS;
  return isKnown ? Math.max(callLimit, MIN_CALL_LIMIT) : Infinity;
}
