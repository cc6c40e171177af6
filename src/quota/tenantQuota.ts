import { type Tenant } from '../catalog';
import { type QuotaResult } from '../exchange';

import { type QuotaRules } from './quotaRules';
import { ownerBucket, restrictedBucket, standbyBucket } from './quotaShares';
import { TokenBucket } from './tokenBucket';

/** What this host grants of the quota of one tenant, as its owner or as substitute. */
export class TenantQuota {
  /** Null while this host is not the owner. */
  private owned: TokenBucket | null = null;

  private readonly restricted: TokenBucket;

  private readonly standby: TokenBucket;

  /** Monotonic time from which on this host is the only owner; Infinity while it is not the owner. */
  private unrestrictedAt = Infinity;

  private ceasedAt = -Infinity;

  private grantedCalls = 0;

  /** Calls by which the burst was raised since the last decision. */
  private raisedBurst = 0;

  constructor(
    private present: Tenant,
    private readonly rules: QuotaRules,
    now: number,
  ) {
    const { callsPerSecond, capacity } = restrictedBucket(present, rules);
    this.restricted = new TokenBucket(now, callsPerSecond, capacity, 0);
    const standby = standbyBucket(present);
    this.standby = new TokenBucket(now, standby.callsPerSecond, standby.capacity, standby.capacity);
  }

  get tenant(): Tenant {
    return this.present;
  }

  /** Applies another limit; a higher one may be used at once. */
  change(now: number, tenant: Tenant): void {
    this.raisedBurst += Math.max(0, tenant.burst - this.present.burst);
    this.present = tenant;
    const { callsPerSecond, capacity } = restrictedBucket(tenant, this.rules);
    this.restricted.change(now, callsPerSecond, capacity);
    const standby = standbyBucket(tenant);
    this.standby.change(now, standby.callsPerSecond, standby.capacity);
  }

  /** This host is the owner, the only one from `unrestrictedAt` on. */
  own(unrestrictedAt: number): void {
    this.unrestrictedAt = Math.min(this.unrestrictedAt, unrestrictedAt);
  }

  /** The tenant is new, so that no other host has granted calls: the bucket is full. */
  ownNew(now: number, heardShare: number): void {
    const { callsPerSecond, capacity } = ownerBucket(this.present, this.rules, heardShare);
    this.unrestrictedAt = now;
    this.owned = new TokenBucket(now, callsPerSecond, capacity, capacity);
  }

  /** Another host is the owner. */
  cease(now: number): void {
    if (this.unrestrictedAt <= now) this.ceasedAt = now;
    this.unrestrictedAt = Infinity;
    this.owned = null;
  }

  isOwner(): boolean {
    return this.unrestrictedAt !== Infinity;
  }

  isUnrestricted(now: number): boolean {
    return this.unrestrictedAt <= now;
  }

  /** Whether this host was the only owner less than two windows ago, and is it no longer. */
  hasCeased(now: number): boolean {
    return !this.isOwner() && now - this.ceasedAt < 2 * this.rules.windowMs;
  }

  /** Decides about one call as the owner. */
  decideAsOwner(now: number, heardShare: number, isFarBelowLimit: boolean): QuotaResult {
    if (!this.isUnrestricted(now)) return this.decideRestricted(now, isFarBelowLimit);
    const bucket = this.bucket(now, heardShare);
    const waitMs = bucket.take(now);
    if (waitMs > 0) return { kind: 'exceeded', waitMs };
    this.grantedCalls += 1;
    return { kind: 'granted', isFarBelowLimit: bucket.level(now) >= bucket.size() / 2 };
  }

  /**
   * Decides about one call while another host may be granting calls too. Only a tenant that reaches its
   * limit could exceed it then, so that one that was far below it is not held back.
   */
  decideRestricted(now: number, isFarBelowLimit: boolean): QuotaResult {
    const waitMs = (isFarBelowLimit ? this.standby : this.restricted).take(now);
    if (waitMs > 0) return { kind: 'unknown', waitMs };
    this.grantedCalls += 1;
    return { kind: 'granted', isFarBelowLimit };
  }

  /** Takes back granted calls that did not run. */
  giveBack(now: number, calls: number): void {
    this.owned?.giveBack(now, calls);
  }

  /** For the status of the host. */
  describe(now: number, heardShare: number) {
    const isRestricted = !this.isUnrestricted(now);
    const bucket = isRestricted ? this.restricted : this.bucket(now, heardShare);
    const tokens = Math.floor(bucket.level(now));
    return { tenant: this.present.name, isRestricted, tokens, granted: this.grantedCalls };
  }

  // The predecessor may have emptied its bucket, so this one is empty when this host becomes the only owner.
  private bucket(now: number, heardShare: number): TokenBucket {
    const { callsPerSecond, capacity } = ownerBucket(this.present, this.rules, heardShare);
    this.owned ??= new TokenBucket(this.unrestrictedAt, callsPerSecond, capacity, 0);
    this.owned.change(now, callsPerSecond, capacity);
    if (this.raisedBurst > 0) this.owned.giveBack(now, this.raisedBurst);
    this.raisedBurst = 0;
    return this.owned;
  }
}
