import { type HostAddress, type KnownHost } from '../exchange';
import { rendezvousChoice, rendezvousOrder } from '../runtime';

import { type QuotaView } from './quotaView';

function choice(tenant: string, hosts: readonly HostAddress[]): HostAddress {
  const chosen = rendezvousChoice(
    tenant,
    hosts.map((host) => host.id),
  );
  return hosts.find((host) => host.id === chosen)!;
}

/**
 * The hosts that may own the quota of a tenant: the first host of the first zone, and the first host of
 * the second zone as its substitute. Zones are ordered before their hosts, since hosts of large zones
 * know all zones and all hosts of their own zone, but only some hosts of the others.
 */
export class OwnerOrder {
  private readonly zoneOrders = new Map<string, readonly string[]>();

  private readonly cache = new Map<string, readonly HostAddress[]>();

  private readonly hostsByZone = new Map<string, HostAddress[]>();

  private hosts: readonly KnownHost[] | null = null;

  private wasLeaving = false;

  /** Ids of the eligible hosts of this zone. */
  private neighbours: readonly string[] = [];

  /** Whether this host is the first of its zone for a tenant. */
  private readonly firstInZone = new Map<string, boolean>();

  constructor(private readonly view: QuotaView) {}

  /** The owner of a tenant's quota and its substitute, if there is one, as this host knows them. */
  candidates(tenant: string): readonly HostAddress[] {
    this.update();
    const cached = this.cache.get(tenant);
    if (cached !== undefined) return cached;
    const candidates = this.choose(tenant);
    this.cache.set(tenant, candidates);
    return candidates;
  }

  /** Whether this host is the owner of a tenant's quota, as far as it knows. */
  isFirst(tenant: string): boolean {
    this.update();
    const { self } = this.view;
    const zone = this.zoneOrder(tenant).find((candidate) => this.hostsByZone.has(candidate));
    if (zone === undefined) return true;
    if (zone !== self.zone) return false;
    // All tenants are looked at periodically, and the hosts of the zone rarely change.
    const known = this.firstInZone.get(tenant);
    if (known !== undefined) return known;
    const isFirst = choice(tenant, this.hostsByZone.get(zone)!).id === self.id;
    this.firstInZone.set(tenant, isFirst);
    return isFirst;
  }

  /** Removes the state of tenants for which `has` is false. */
  retainTenants(has: (tenant: string) => boolean): void {
    for (const state of [this.zoneOrders, this.cache, this.firstInZone])
      for (const tenant of state.keys()) if (!has(tenant)) state.delete(tenant);
  }

  private choose(tenant: string): readonly HostAddress[] {
    const zones = this.zoneOrder(tenant).filter((zone) => this.hostsByZone.has(zone));
    const [first, second] = zones.map((zone) => this.hostsByZone.get(zone)!);
    if (first === undefined) return [this.view.self];
    // The first host of another zone is preferred as substitute, as it survives the loss of a zone.
    if (second !== undefined) return [choice(tenant, first), choice(tenant, second)];
    const owner = choice(tenant, first);
    const others = first.filter((host) => host !== owner);
    return others.length === 0 ? [owner] : [owner, choice(tenant, others)];
  }

  // The list of hosts is another one after each change, and at most every 50 ms.
  private update(): void {
    const hosts = this.view.hosts();
    const isLeaving = this.view.isLeaving();
    if (hosts === this.hosts && isLeaving === this.wasLeaving) return;
    this.hosts = hosts;
    this.wasLeaving = isLeaving;
    this.cache.clear();
    this.hostsByZone.clear();
    for (const host of this.eligible(hosts)) {
      const inZone = this.hostsByZone.get(host.zone);
      if (inZone === undefined) this.hostsByZone.set(host.zone, [host]);
      else inZone.push(host);
    }
    const neighbours = (this.hostsByZone.get(this.view.self.zone) ?? []).map((host) => host.id);
    if (neighbours.join() !== this.neighbours.join()) this.firstInZone.clear();
    this.neighbours = neighbours;
  }

  private eligible(hosts: readonly KnownHost[]): readonly HostAddress[] {
    const { self } = this.view;
    const others = hosts.filter(
      (host) => !host.isLeaving && (host.zone !== self.zone || host.isDirect),
    );
    return this.view.isLeaving() ? others : [...others, self];
  }

  private zoneOrder(tenant: string): readonly string[] {
    const known = this.zoneOrders.get(tenant);
    if (known !== undefined) return known;
    const order = rendezvousOrder(tenant, this.view.zones);
    this.zoneOrders.set(tenant, order);
    return order;
  }
}
