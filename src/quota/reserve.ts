import { rendezvousScore } from '../runtime';

import { type QuotaRules } from './quotaRules';

// Hosts that this one cannot see may use their reserve too.
const MIN_ASSUMED_HOSTS = 20;
const SCORES = 2 ** 32;
// All hosts together may use half the slack in a sliding window, which overlaps two windows of each host.
const SLACK_SHARE_OF_WINDOW = 1 / 4;

/** The calls that a host may grant without an answer of the owner, by tenant. */
export class Reserve {
  private readonly grantTimes = new Map<string, readonly number[]>();

  constructor(
    private readonly hostId: string,
    private readonly rules: QuotaRules,
  ) {}

  /** Takes a call of the reserve, if there is one. `maxHosts` were live at once at most. */
  take(now: number, tenant: string, maxHosts: number): boolean {
    const { windowMs } = this.rules;
    const recent = (this.grantTimes.get(tenant) ?? []).filter((at) => now - at < windowMs);
    const isGranted = recent.length < this.allowance(now, tenant, maxHosts);
    this.grantTimes.set(tenant, isGranted ? [...recent, now] : recent);
    return isGranted;
  }

  /** Removes the state of tenants for which `has` is false. */
  retainTenants(has: (tenant: string) => boolean): void {
    for (const tenant of this.grantTimes.keys()) if (!has(tenant)) this.grantTimes.delete(tenant);
  }

  // A share below one call is one call for some hosts, chosen by a hash that each host computes for
  // itself, as hosts that need the reserve do not know the others.
  private allowance(now: number, tenant: string, maxHosts: number): number {
    const { slack, windowMs } = this.rules;
    const share = (slack * SLACK_SHARE_OF_WINDOW) / Math.max(MIN_ASSUMED_HOSTS, maxHosts);
    const key = `${tenant} ${Math.floor(now / windowMs)}`;
    const hasOneMore = rendezvousScore(key, this.hostId) / SCORES < share % 1;
    return Math.floor(share) + (hasOneMore ? 1 : 0);
  }
}
