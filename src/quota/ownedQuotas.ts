import { type Catalog, type Tenant } from '../catalog';
import { type QuotaQuestion, type QuotaResult } from '../exchange';
import { identityKey } from '../knowledge';
import { type Clock } from '../runtime';

import { AnsweredQuestions } from './answeredQuestions';
import { type OwnerOrder } from './ownerOrder';
import { type QuotaRules } from './quotaRules';
import { type QuotaView } from './quotaView';
import { RecentPeak } from './recentPeak';
import { TenantQuota } from './tenantQuota';

// A host that has just started may take itself for the owner of quotas that others own. Most hosts answer
// its first heartbeat within the first time; the second one bounds the wait for a zone that is away.
const SETTLING_MS = 300;
const MAX_SETTLING_MS = 1000;
// A predecessor that is alive notices a host that has started within this time, and hands its quotas over.
const HANDOVER_MS = 1000;
// After a partition or a planned reduction of the fleet the hosts that are gone are no longer counted.
const HOST_COUNT_PERIOD_MS = 5 * 60 * 1000;
const UNKNOWN_TENANT_WAIT_MS = 200;

/** Dependencies of `OwnedQuotas`. */
export interface OwnedQuotasParts {
  readonly clock: Clock;
  readonly rules: QuotaRules;
  readonly view: QuotaView;
  readonly order: OwnerOrder;
}

/** Decides about the calls of the tenants whose quotas this host owns, and as substitute of others. */
export class OwnedQuotas {
  private readonly quotas = new Map<number, TenantQuota>();

  private readonly answered = new AnsweredQuestions();

  private readonly hostCountPeak = new RecentPeak(HOST_COUNT_PERIOD_MS);

  private readonly startedAt: number;

  private heardShare = 1;

  private hasConfiguration = false;

  constructor(private readonly parts: OwnedQuotasParts) {
    this.startedAt = parts.clock.now();
  }

  /** Takes over the limits of the tenants. */
  applyCatalog({ configuration, tenants }: Pick<Catalog, 'configuration' | 'tenants'>): void {
    const now = this.parts.clock.now();
    const limited = (tenants?.tenants ?? []).filter((tenant) => tenant.callsPerSecond > 0);
    const keys = new Set(limited.map((tenant) => identityKey(tenant.name)));
    for (const key of this.quotas.keys()) if (!keys.has(key)) this.quotas.delete(key);
    for (const tenant of limited) {
      const known = this.quotas.get(identityKey(tenant.name));
      if (known === undefined) this.add(now, tenant);
      else if (known.tenant !== tenant) known.change(now, tenant);
    }
    this.hasConfiguration ||= configuration !== null;
  }

  /** Follows changes of the fleet; called periodically. */
  refresh(): void {
    if (this.quotas.size === 0) return;
    const { clock, view } = this.parts;
    const now = clock.now();
    const count = view.liveHostCount();
    this.heardShare = count / this.hostCountPeak.record(now, count);
    for (const quota of this.quotas.values()) this.follow(now, quota);
  }

  /** Whether this host has been running for long enough to know who owns a quota. */
  isSettled(): boolean {
    return this.settlingMs() <= 0;
  }

  /** Answers a question of another host. */
  answer(question: QuotaQuestion, fromIp: string): QuotaResult {
    const now = this.parts.clock.now();
    return this.answered.answer(now, fromIp, question.number, () => this.decide(question));
  }

  /** Decides about a call as owner or substitute, or tells which host does. */
  decide({
    tenant: key,
    isSubstitute,
    isHandedOver,
    isFarBelowLimit,
    returned,
  }: Omit<QuotaQuestion, 'kind' | 'number'>): QuotaResult {
    const now = this.parts.clock.now();
    const quota = this.quotas.get(key);
    if (quota === undefined) return { kind: 'unknown', waitMs: UNKNOWN_TENANT_WAIT_MS };
    const settlingMs = this.settlingMs();
    if (settlingMs > 0) return { kind: 'unknown', waitMs: settlingMs };
    this.follow(now, quota);
    if (quota.isOwner()) {
      if (isHandedOver) quota.own(now);
      quota.giveBack(now, returned);
      return quota.decideAsOwner(now, this.heardShare, isFarBelowLimit);
    }
    const [owner, substitute] = this.parts.order.candidates(quota.tenant.name);
    const answerer = isSubstitute ? (substitute ?? owner!) : owner!;
    if (isSubstitute && answerer.id === this.parts.view.self.id)
      return quota.decideRestricted(now, isFarBelowLimit);
    return { kind: 'redirect', ip: answerer.ip, hasCeased: quota.hasCeased(now) };
  }

  /** Returns a call that this host granted itself as the owner; false if it is not the owner. */
  giveBack(key: number): boolean {
    const quota = this.quotas.get(key);
    if (quota === undefined || !quota.isOwner()) return false;
    quota.giveBack(this.parts.clock.now(), 1);
    return true;
  }

  /** Whether this host was the only owner until a moment ago. */
  hasCeased(key: number): boolean {
    return this.quotas.get(key)?.hasCeased(this.parts.clock.now()) ?? false;
  }

  /** The quotas that this host owns, for its status. */
  describe() {
    const now = this.parts.clock.now();
    return [...this.quotas.values()]
      .filter((quota) => quota.isOwner())
      .map((quota) => quota.describe(now, this.heardShare));
  }

  private add(now: number, tenant: Tenant): void {
    const quota = new TenantQuota(tenant, this.parts.rules, now);
    this.quotas.set(identityKey(tenant.name), quota);
    // A tenant of the first configuration that this host sees may have an owner already.
    if (this.hasConfiguration && this.parts.order.isFirst(tenant.name))
      quota.ownNew(now, this.heardShare);
    else this.follow(now, quota);
  }

  private follow(now: number, quota: TenantQuota): void {
    if (!this.parts.order.isFirst(quota.tenant.name)) {
      if (quota.isOwner()) quota.cease(now);
    } else if (!quota.isOwner()) quota.own(this.onlyOwnerAt(now));
  }

  // The predecessor of a quota may be alive and grant calls for a window, by which time it has noticed that
  // another host is the owner.
  private onlyOwnerAt(now: number): number {
    const { windowMs } = this.parts.rules;
    const hasJustStarted = now - this.startedAt < MAX_SETTLING_MS;
    return hasJustStarted ? this.startedAt + HANDOVER_MS : now + windowMs;
  }

  private settlingMs(): number {
    const { clock, view } = this.parts;
    const ageMs = clock.now() - this.startedAt;
    if (ageMs >= MAX_SETTLING_MS) return 0;
    if (ageMs < SETTLING_MS) return SETTLING_MS - ageMs;
    const known = new Set([view.self.zone, ...view.hosts().map((host) => host.zone)]);
    const isMissingZone = view.zones.some((zone) => !known.has(zone));
    return isMissingZone ? MAX_SETTLING_MS - ageMs : 0;
  }
}
