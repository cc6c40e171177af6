import { type Tenant } from '../../src/catalog';

import { type DecidedCall, RULES } from './quotaFleet';

/** Calls of a tenant that a window may have. */
export function mostCalls({ callsPerSecond, burst }: Tenant): number {
  const limit = (callsPerSecond * RULES.windowMs) / 1000 + burst;
  return limit * (1 + RULES.overage) + RULES.slack;
}

/** The largest number of granted calls in any sliding window. */
export function mostInWindow(calls: readonly DecidedCall[]): number {
  const times = calls
    .filter(({ decision }) => decision === 'granted')
    .map(({ at }) => at)
    .sort((left, right) => left - right);
  let most = 0;
  let first = 0;
  for (let last = 0; last < times.length; last += 1) {
    while (times[last]! - times[first]! > RULES.windowMs) first += 1;
    most = Math.max(most, last - first + 1);
  }
  return most;
}

/** Number of calls that are within the limit of the tenant in every sliding window. */
function countWithinLimit(
  calls: readonly DecidedCall[],
  { callsPerSecond, burst }: Tenant,
): number {
  const most = Math.floor((callsPerSecond * RULES.windowMs) / 1000 + burst);
  const within: number[] = [];
  for (const at of calls.map((call) => call.at - call.waitedMs).sort((left, right) => left - right))
    if ((within.at(-most) ?? -Infinity) < at - RULES.windowMs) within.push(at);
  return within.length;
}

/** Calls that were granted, as a share of those that are within the limit. */
export function grantedShare(calls: readonly DecidedCall[], tenant: Tenant): number {
  const granted = calls.filter(({ decision }) => decision === 'granted');
  return granted.length / countWithinLimit(calls, tenant);
}
