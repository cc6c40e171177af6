import { type Tenant } from '../catalog';

import { type QuotaRules } from './quotaRules';

// The overage is divided: a fifth is room in the bucket of the owner, three fifths are the rate of hosts
// that can't know whether another owner grants calls, and a fifth is for changes of the owner. Of the
// slack, two fifths are room, which calls at random times need where the burst is small, and half is the
// reserve.
const ROOM_SHARE = 1 / 5;
const RESTRICTED_SHARE = 3 / 5;
const SLACK_ROOM_SHARE = 2 / 5;
// A side of a partition with this share of the hosts has the full rate. The other side then has at most
// a fifth of the rate, which is within an overage of a quarter.
const FULL_RATE_SHARE = 0.8;
const MS_PER_SECOND = 1000;

/** Rate and capacity of a bucket. */
export interface BucketSize {
  readonly callsPerSecond: number;
  readonly capacity: number;
}

/** The bucket of an owner that hears from `heardShare` of the hosts. */
export function ownerBucket(tenant: Tenant, rules: QuotaRules, heardShare: number): BucketSize {
  const { callsPerSecond, burst } = tenant;
  const { windowMs, overage, slack, hasStrictRevocation } = rules;
  const limit = (callsPerSecond * windowMs) / MS_PER_SECOND + burst;
  const room = limit * overage * ROOM_SHARE + slack * SLACK_ROOM_SHARE;
  const isWhole = hasStrictRevocation || heardShare >= FULL_RATE_SHARE;
  const share = isWhole ? 1 : heardShare;
  return {
    callsPerSecond: callsPerSecond * share,
    capacity: Math.max(1, (burst + room) * share),
  };
}

// The owner may have emptied its bucket a moment before it was lost.
const STANDBY_CAPACITY_S = 0.25;

/** The bucket, in place of a lost owner, of a tenant that was far below its limit. */
export function standbyBucket({ callsPerSecond }: Tenant): BucketSize {
  return { callsPerSecond, capacity: Math.max(1, callsPerSecond * STANDBY_CAPACITY_S) };
}

/** The bucket of a substitute, and of an owner beside which there may be another one. */
export function restrictedBucket(tenant: Tenant, rules: QuotaRules): BucketSize {
  return { callsPerSecond: tenant.callsPerSecond * rules.overage * RESTRICTED_SHARE, capacity: 1 };
}
