import { type HostAddress, type KnownHost } from '../exchange';
import { rendezvousOrder } from '../runtime';

import { type QuotaView } from './quotaView';

interface CachedCandidates {
  readonly hosts: readonly KnownHost[];
  readonly candidates: readonly HostAddress[];
}

/**
 * The hosts that may own the quota of a tenant: the first host of the first zone, and the first host of
 * the second zone as its substitute. Zones are ordered before their hosts, since hosts of large zones
 * know all zones and all hosts of their own zone, but only some hosts of the others.
 */
export class OwnerOrder {
  private readonly zoneOrders = new Map<string, readonly string[]>();

  private readonly cache = new Map<string, CachedCandidates>();

  constructor(private readonly view: QuotaView) {}

  /** The owner of a tenant's quota and its substitute, if there is one, as this host knows them. */
  candidates(tenant: string): readonly HostAddress[] {
    const hosts = this.view.hosts();
    const cached = this.cache.get(tenant);
    if (cached?.hosts === hosts) return cached.candidates;
    const candidates = this.choose(tenant, hosts);
    this.cache.set(tenant, { hosts, candidates });
    return candidates;
  }

  /** Removes the state of tenants for which `has` is false. */
  retainTenants(has: (tenant: string) => boolean): void {
    for (const tenant of this.zoneOrders.keys()) if (!has(tenant)) this.zoneOrders.delete(tenant);
    for (const tenant of this.cache.keys()) if (!has(tenant)) this.cache.delete(tenant);
  }

  private choose(tenant: string, hosts: readonly KnownHost[]): readonly HostAddress[] {
    const { self } = this.view;
    const eligible = this.eligible(hosts);
    const chosen: HostAddress[] = [];
    for (const zone of this.zoneOrder(tenant)) {
      const inZone = eligible.filter((host) => host.zone === zone);
      if (inZone.length === 0) continue;
      const ids = inZone.map((host) => host.id);
      const order = rendezvousOrder(tenant, ids).map((id) =>
        inZone.find((host) => host.id === id)!,
      );
      chosen.push(...order.slice(0, 2));
      // The first host of another zone is preferred as substitute, as it survives the loss of a zone.
      const others = chosen.filter((host) => host.zone !== chosen[0]!.zone);
      if (others.length > 0) return [chosen[0]!, others[0]!];
    }
    return chosen.length === 0 ? [self] : chosen;
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
