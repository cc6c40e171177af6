import { type Configuration, type Route } from '../catalog';

import { type RankedCall } from './rankedCall';

type PriorityPair = readonly [effective: number, route: number];

// Without a priority of its own, a tenant's calls count like those of a tenant with the route's priority.
function priorityPair(route: Route, tenantPriority: number | null): PriorityPair {
  return [tenantPriority ?? route.priority, route.priority];
}

function compare(left: PriorityPair, right: PriorityPair): number {
  return left[0] - right[0] || left[1] - right[1];
}

/** Ranks of calls in one configuration: by the tenant's priority first, then by the route's. */
export class PriorityRanks {
  private readonly pairsByService = new Map<string, readonly PriorityPair[]>();

  private readonly ranks = new Map<string, number>();

  private readonly tenantPriorities: readonly (number | null)[];

  constructor(readonly configuration: Configuration | null) {
    const callers = (configuration?.tenants ?? []).filter(
      ({ keyDigests }) => keyDigests.length > 0,
    );
    this.tenantPriorities = [...new Set(callers.map(({ priority }) => priority))];
  }

  /** Rank among the calls that the service may get: 0 for the most urgent, 1 for the least urgent. */
  rankOf({ route, service, tenant }: RankedCall): number {
    const pair = priorityPair(route, tenant?.priority ?? null);
    const key = `${pair.join(' ')} ${service}`;
    let rank = this.ranks.get(key);
    if (rank === undefined) {
      rank = this.computeRank(pair, service);
      this.ranks.set(key, rank);
    }
    return rank;
  }

  // A call may be of an earlier configuration, whose priorities this one lacks; it is ranked between those
  // that it has.
  private computeRank(pair: PriorityPair, service: string): number {
    const pairs = this.pairsOf(service);
    const before = pairs.filter((other) => compare(other, pair) < 0).length;
    return before === 0 ? 0 : Math.min(1, before / (pairs.length - 1));
  }

  private pairsOf(service: string): readonly PriorityPair[] {
    let pairs = this.pairsByService.get(service);
    if (pairs === undefined) {
      pairs = this.computePairs(service);
      this.pairsByService.set(service, pairs);
    }
    return pairs;
  }

  private computePairs(service: string): readonly PriorityPair[] {
    const routes = (this.configuration?.routes ?? []).filter(({ parts }) =>
      parts.some((part) => part.service === service),
    );
    const all = routes.flatMap((route) =>
      this.prioritiesOn(route).map((priority) => priorityPair(route, priority)),
    );
    const distinct = new Map(all.map((pair) => [pair.join(' '), pair]));
    return [...distinct.values()].sort(compare);
  }

  private prioritiesOn(route: Route): readonly (number | null)[] {
    const needsKey = !route.isPublic && (this.configuration?.tenants ?? null) !== null;
    return needsKey ? this.tenantPriorities : [null];
  }
}
