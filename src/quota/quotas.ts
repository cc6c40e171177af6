import { type Catalog, type Tenant } from '../catalog';
import { type QuotaMessage } from '../exchange';
import { type EventSink } from '../logging';
import { type MetricsSink } from '../metrics';
import { type Clock, type Random, runEvery, waitUntil } from '../runtime';

import { type CallQuotas } from './callQuotas';
import { QuotaLog } from './quotaLog';
import { OwnedQuotas } from './ownedQuotas';
import { OwnerOrder } from './ownerOrder';
import { QuotaClient } from './quotaClient';
import { type QuotaDecision } from './quotaDecision';
import { type QuotaReply } from './quotaReply';
import { type QuotaRules } from './quotaRules';
import { type QuotaView } from './quotaView';
import { Reserve } from './reserve';

// A host that has just started waits this long for the list of members.
const JOIN_MS = 250;
const REFRESH_INTERVAL_MS = 500;
// Within the time that the owner states calls are refused without a question, but for this long at most,
// as a raised limit or returned calls may shorten the time.
const MAX_REFUSAL_MS = 1000;
// A substitute or another owner answers by then.
const UNANSWERED_RETRY_MS = 500;

/** Dependencies of `Quotas`. */
export interface QuotasParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventSink;
  readonly metrics: MetricsSink;
  readonly rules: QuotaRules;
  readonly view: QuotaView;
  readonly send: (ip: string, message: QuotaMessage) => void;
}

type ReplyHandlers = {
  readonly [Kind in QuotaReply['kind']]: (
    tenant: Tenant,
    reply: Extract<QuotaReply, { kind: Kind }>,
  ) => QuotaDecision;
};

/** The last refusal of a tenant by its owner, in monotonic times. */
interface Refusal {
  /** When the owner expects a token. */
  readonly tokenAt: number;
  /** Until then calls are refused without a question. */
  readonly validUntil: number;
}

/** Limits the calls of each tenant over all hosts. */
export class Quotas implements CallQuotas {
  private readonly order: OwnerOrder;

  private readonly owned: OwnedQuotas;

  private readonly client: QuotaClient;

  private readonly reserve: Reserve;

  private readonly log: QuotaLog;

  private readonly refusals = new Map<string, Refusal>();

  private readonly startedAt: number;

  private cancelTimer: () => void = () => {};

  private readonly replyHandlers: ReplyHandlers = {
    granted: () => ({ kind: 'granted' }),
    exceeded: (tenant, { waitMs }) => this.refuseExceeded(tenant, waitMs),
    unknown: (tenant, { waitMs }) => this.useReserve(tenant, waitMs),
    unanswered: (tenant) => this.useReserve(tenant, UNANSWERED_RETRY_MS),
  };

  constructor(private readonly parts: QuotasParts) {
    const { clock, random, rules, view, send } = parts;
    this.startedAt = clock.now();
    this.order = new OwnerOrder(view);
    this.owned = new OwnedQuotas({ clock, rules, view, order: this.order });
    this.reserve = new Reserve(view.self.id, rules);
    this.log = new QuotaLog(clock, parts.events, parts.metrics);
    this.client = new QuotaClient({
      ...{ clock, random, send, self: view.self, order: this.order, owned: this.owned },
      onQuestion: () => this.log.countQuestion(),
      onSubstitute: () => this.log.countSubstitute(),
      onSilence: (tenant, ip) => this.log.reportSilence(tenant, ip),
    });
  }

  /** Starts to follow changes of the fleet. */
  start(): void {
    this.cancelTimer = runEvery(this.parts.clock, REFRESH_INTERVAL_MS, () => this.refresh());
  }

  /** Ends the questions that wait for an answer. */
  close(): void {
    this.cancelTimer();
    this.client.close();
  }

  /** Takes over the tenants of a changed catalog. */
  applyCatalog(catalog: Pick<Catalog, 'configuration' | 'tenants'>): void {
    const { tenants } = catalog;
    this.owned.applyCatalog(catalog);
    this.log.applyTenants(tenants?.tenants ?? []);
    const has = (name: string) => (tenants?.get(name) ?? null) !== null;
    this.order.retainTenants(has);
    this.reserve.retainTenants(has);
    this.refusals.clear();
  }

  /** Takes one call from the quota of the tenant. */
  async acquire(tenant: Tenant): Promise<QuotaDecision> {
    if (tenant.callsPerSecond <= 0) return { kind: 'granted' };
    const refusal = this.refusals.get(tenant.name);
    if (refusal !== undefined && this.parts.clock.now() < refusal.validUntil)
      return this.refuse(tenant, refusal.tokenAt);
    if (this.isJoining()) await waitUntil(this.parts.clock, this.startedAt + JOIN_MS);
    const reply = await this.client.ask(tenant);
    const handle = this.replyHandlers[reply.kind] as (
      of: Tenant,
      received: QuotaReply,
    ) => QuotaDecision;
    return handle(tenant, reply);
  }

  /** Returns a granted call that was not sent to a target. */
  release(tenant: Tenant): void {
    if (tenant.callsPerSecond > 0) this.client.giveBack(tenant);
  }

  /** Applies a message of another host. */
  receive(message: QuotaMessage, fromIp: string): void {
    if (message.kind === 'quotaAnswer') {
      this.client.receive(message, fromIp);
      return;
    }
    const result = this.owned.answer(message, fromIp);
    this.parts.send(fromIp, { kind: 'quotaAnswer', number: message.number, result });
  }

  /** The quotas that this host owns, for its status. */
  describe() {
    return this.owned.describe();
  }

  private refresh(): void {
    this.owned.refresh();
    const ips = new Set(this.parts.view.hosts().map((host) => host.ip));
    this.client.retainHosts((ip) => ips.has(ip));
  }

  private isJoining(): boolean {
    const { clock, view } = this.parts;
    return clock.now() < this.startedAt + JOIN_MS && view.hosts().length === 0;
  }

  private refuseExceeded(tenant: Tenant, waitMs: number): QuotaDecision {
    const now = this.parts.clock.now();
    const tokenAt = now + waitMs;
    this.refusals.set(tenant.name, {
      ...{ tokenAt, validUntil: Math.min(tokenAt, now + MAX_REFUSAL_MS) },
    });
    return this.refuse(tenant, tokenAt);
  }

  private refuse(tenant: Tenant, tokenAt: number): QuotaDecision {
    this.log.reportExceeded(tenant);
    return { kind: 'exceeded', retryAfterMs: Math.ceil(tokenAt - this.parts.clock.now()) };
  }

  private useReserve(tenant: Tenant, waitMs: number): QuotaDecision {
    const { clock, view } = this.parts;
    // A host that does not know how many others there are would take too large a share.
    const isGranted =
      this.owned.isSettled() &&
      this.reserve.take(clock.now(), tenant.name, view.maxLiveHostCount());
    if (isGranted) return { kind: 'granted' };
    this.log.reportUnknown(tenant);
    return { kind: 'unknown', retryAfterMs: Math.ceil(waitMs) };
  }
}
