import { type Tenant } from '../../src/catalog';
import { type Exchange, type HostAddress } from '../../src/exchange';
import { type QuotaDecision, Quotas } from '../../src/quota';
import { ManualClock, SeededRandom } from '../../src/runtime';
import { SimulatedHosts } from '../exchange/simulatedHosts';

import { catalogOf } from './tenants';

export const RULES = { windowMs: 5000, overage: 0.25, slack: 20, hasStrictRevocation: true };

/** What became of a call. */
export interface DecidedCall {
  readonly at: number;
  readonly host: string;
  readonly tenant: string;
  readonly waitedMs: number;
  readonly decision: QuotaDecision['kind'];
}

/** Simulated hosts that decide about calls of tenants. */
export class QuotaFleet {
  readonly clock = new ManualClock();

  readonly random: SeededRandom;

  readonly network: SimulatedHosts;

  readonly quotas = new Map<string, Quotas>();

  readonly calls: DecidedCall[] = [];

  readonly zones: readonly string[];

  constructor(
    size: number,
    zoneCount: number,
    seed: number,
    private tenants: readonly Tenant[],
  ) {
    this.random = new SeededRandom(seed);
    this.zones = ['a', 'b', 'c', 'd', 'e'].slice(0, zoneCount);
    const seeds = () => ['10.0.0.0', '10.0.0.1', '10.0.0.2'];
    this.network = new SimulatedHosts(
      ...([this.clock, this.random, this.zones, seeds, null] as const),
      (address, _ledger, exchange) => {
        const quotas = this.makeQuotas(address, exchange);
        return { onQuotaMessage: (message, fromIp) => quotas.receive(message, fromIp) };
      },
    );
    for (let index = 0; index < size; index += 1) this.startHost(index);
  }

  /** Starts a host that was not there before, or starts it again. */
  startHost(index: number): void {
    const zone = this.zones[index % this.zones.length]!;
    this.network.start(`host-${index}`, zone, `10.0.0.${index}`);
  }

  /** Kills a host. */
  kill(id: string): void {
    this.quotas.get(id)!.close();
    this.quotas.delete(id);
    this.network.kill(id);
  }

  /** Publishes other limits at all hosts. */
  publish(tenants: readonly Tenant[]): void {
    this.tenants = tenants;
    for (const quotas of this.quotas.values()) quotas.applyCatalog(catalogOf(tenants));
  }

  /** Sends a call of a tenant to a host; its decision is recorded. */
  call(host: string, tenant: Tenant): void {
    const quotas = this.quotas.get(host);
    if (quotas === undefined) return;
    const startedAt = this.clock.now();
    void quotas.acquire(tenant).then(({ kind }) => {
      const at = this.clock.now();
      const waitedMs = at - startedAt;
      this.calls.push({ at, host, tenant: tenant.name, waitedMs, decision: kind });
    });
  }

  /** Ids of the hosts that run. */
  hosts(zone?: string): readonly string[] {
    return this.network
      .liveHosts()
      .filter(({ address }) => zone === undefined || address.zone === zone)
      .map(({ address }) => address.id);
  }

  /** The hosts that consider themselves the owner of a tenant's quota. */
  owners(tenant: Tenant): readonly string[] {
    return this.hosts().filter((id) =>
      this.quotas
        .get(id)!
        .describe()
        .some((owned) => owned.tenant === tenant.name),
    );
  }

  private makeQuotas(self: HostAddress, exchange: () => Exchange) {
    this.quotas.get(self.id)?.close();
    const { clock, zones } = this;
    const quotas = new Quotas({
      ...{ clock, rules: RULES, random: new SeededRandom(this.random.integer(2 ** 30)) },
      events: { emit: () => {} },
      metrics: { increment: () => {}, gauge: () => {}, timing: () => {} },
      view: {
        ...{ self, zones, isLeaving: () => false },
        hosts: () => exchange().membership.live(),
        liveHostCount: () => exchange().membership.liveHostCount(),
        maxLiveHostCount: () => exchange().membership.maxLiveHostCount(),
      },
      send: (ip, message) => exchange().sendQuotaMessage(ip, message),
    });
    this.quotas.set(self.id, quotas);
    clock.setTimer(clock.now(), () => {
      if (this.quotas.get(self.id) === quotas) quotas.applyCatalog(catalogOf(this.tenants));
    });
    quotas.start();
    return quotas;
  }
}
