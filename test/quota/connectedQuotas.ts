import { type Tenant } from '../../src/catalog';
import { type KnownHost, type QuotaMessage } from '../../src/exchange';
import { type QuotaDecision, Quotas } from '../../src/quota';
import { ManualClock, SeededRandom } from '../../src/runtime';

import { RULES } from './quotaFleet';
import { catalogOf } from './tenants';

// Hosts know each other from the start and take themselves for owners after this time.
const SETTLING_MS = 10_000;

/** Quotas of hosts that know each other and reach each other at once, unless `drops` says no. */
export class ConnectedQuotas {
  readonly clock = new ManualClock();

  readonly sent: QuotaMessage[] = [];

  drops: (message: QuotaMessage, toIp: string) => boolean = () => false;

  private hosts: readonly KnownHost[] = [];

  private readonly quotas = new Map<string, Quotas>();

  constructor(
    private readonly zones: readonly string[],
    tenants: readonly Tenant[],
  ) {
    for (const [index, zone] of zones.entries()) this.start(`host-${index}`, zone);
    this.publish(tenants);
    this.clock.advanceBy(SETTLING_MS);
  }

  /** Starts a host, or starts it again; it gets tenants with the next configuration. */
  start(id: string, zone: string): void {
    const ip = `10.0.0.${id.split('-')[1]!}`;
    const self: KnownHost = {
      ...{ id, zone, ip, incarnation: 1, asOf: 0, newest: 0, fingerprint: 0 },
      ...{ source: 'idle', isLeaving: false, receivedAt: 0, isDirect: true },
    };
    this.hosts = [...this.hosts.filter((host) => host.id !== id), self];
    const others = () => this.hosts.filter((host) => host.id !== id);
    const { clock } = this;
    const zones = [...new Set(this.zones)];
    const quotas = new Quotas({
      ...{ clock, rules: RULES, random: new SeededRandom(this.hosts.length) },
      events: { emit: () => {} },
      metrics: { increment: () => {}, gauge: () => {}, timing: () => {} },
      view: {
        ...{ self, zones, isLeaving: () => false, hosts: others },
        liveHostCount: () => this.hosts.length,
        maxLiveHostCount: () => this.hosts.length,
      },
      send: (toIp, message) => {
        this.sent.push(message);
        if (!this.drops(message, toIp)) this.deliver(ip, toIp, message);
      },
    });
    this.quotas.set(ip, quotas);
    quotas.start();
  }

  /** All hosts get these tenants. */
  publish(tenants: readonly Tenant[]): void {
    for (const quotas of this.quotas.values()) quotas.applyCatalog(catalogOf(tenants));
  }

  /** Hosts no longer know this host, which keeps running. */
  removeFromView(id: string): void {
    this.hosts = this.hosts.filter((host) => host.id !== id);
  }

  quotasOf(id: string): Quotas {
    return this.quotas.get(`10.0.0.${id.split('-')[1]!}`)!;
  }

  /** The host that owns the quota of a tenant, and the others. */
  split(tenant: Tenant): { readonly owner: string; readonly others: readonly string[] } {
    const ids = this.hosts.map(({ id }) => id);
    const isOwner = (id: string) =>
      this.quotasOf(id)
        .describe()
        .some((owned) => owned.tenant === tenant.name);
    return { owner: ids.find(isOwner)!, others: ids.filter((id) => !isOwner(id)) };
  }

  /** The decision about a call, with time moving until there is one. */
  async call(id: string, tenant: Tenant): Promise<QuotaDecision> {
    let decided: QuotaDecision | null = null;
    void this.quotasOf(id)
      .acquire(tenant)
      .then((decision) => {
        decided = decision;
      });
    for (;;) {
      await new Promise(setImmediate);
      if (decided !== null) return decided;
      this.clock.advanceBy(1);
    }
  }

  /** Number of `count` calls at once that are granted. */
  async countGranted(id: string, tenant: Tenant, count: number): Promise<number> {
    let granted = 0;
    for (let sent = 0; sent < count; sent += 1)
      if ((await this.call(id, tenant)).kind === 'granted') granted += 1;
    return granted;
  }

  private deliver(fromIp: string, toIp: string, message: QuotaMessage): void {
    this.clock.setTimer(this.clock.now(), () => this.quotas.get(toIp)?.receive(message, fromIp));
  }
}
