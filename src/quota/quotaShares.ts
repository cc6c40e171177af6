import { type Tenant } from '../catalog';

import { type QuotaRules } from './quotaRules';

// What a window may have beyond the limit is divided: a tenth stays unused, for changes of the owner; half of
// the slack is the reserve; three fifths of the overage of the rate are for hosts that can't know whether
// another owner grants calls; the rest is the capacity of the owner's bucket.
const UNUSED_SHARE = 1 / 10;
const RESERVE_SHARE = 1 / 2;
const RESTRICTED_SHARE = 3 / 5;
// A side of a partition with this share of the hosts has the full rate. The other side then has at most
// a fifth of the rate, which is within an overage of a quarter.
const FULL_RATE_SHARE = 0.8;
const MS_PER_SECOND = 1000;

/** Rate and capacity of a bucket. */
export interface BucketSize {
  readonly callsPerSecond: number;
  readonly capacity: number;
}

/** The bucket of a substitute, and of an owner beside which there may be another one. */
export function restrictedBucket(tenant: Tenant, rules: QuotaRules): BucketSize {
  return { callsPerSecond: tenant.callsPerSecond * rules.overage * RESTRICTED_SHARE, capacity: 1 };
}

/**
 * The bucket of an owner that hears from `heardShare` of the hosts. It refills at the rate that uses the limit
 * of a window, which includes the burst, in each window.
 */
export function ownerBucket(tenant: Tenant, rules: QuotaRules, heardShare: number): BucketSize {
  const { callsPerSecond, burst } = tenant;
  const { windowMs, overage, slack, hasStrictRevocation } = rules;
  const windowS = windowMs / MS_PER_SECOND;
  const limit = callsPerSecond * windowS + burst;
  const beyond = overage * limit + slack;
  const restricted = restrictedBucket(tenant, rules).callsPerSecond * windowS;
  const capacity = beyond * (1 - UNUSED_SHARE) - slack * RESERVE_SHARE - restricted;
  const isWhole = hasStrictRevocation || heardShare >= FULL_RATE_SHARE;
  const share = isWhole ? 1 : heardShare;
  return {
    callsPerSecond: (limit / windowS) * share,
    capacity: Math.max(1, capacity * share),
  };
}

// The owner may have emptied its bucket a moment before it was lost.
const STANDBY_CAPACITY_S = 0.25;

/** The bucket, in place of a lost owner, of a tenant that was far below its limit. */
export function standbyBucket({ callsPerSecond }: Tenant): BucketSize {
  return { callsPerSecond, capacity: Math.max(1, callsPerSecond * STANDBY_CAPACITY_S) };
}
