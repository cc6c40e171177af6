import { match } from 'ts-pattern';

import { type Catalog } from './catalog';
import { type CatalogFact } from './catalogFact';
import { type Configuration } from './configuration';
import { RouteTable } from './routeTable';
import { type Target } from './target';
import { TenantTable } from './tenantTable';

function groupByService(
  targets: ReadonlyMap<string, Target>,
): ReadonlyMap<string, readonly Target[]> {
  const groups = new Map<string, Target[]>();
  const ordered = [...targets.values()].sort((left, right) => (left.id < right.id ? -1 : 1));
  for (const target of ordered) {
    const group = groups.get(target.service);
    if (group === undefined) groups.set(target.service, [target]);
    else group.push(target);
  }
  return groups;
}

function minObjectiveByService(configuration: Configuration | null): ReadonlyMap<string, number> {
  const objectiveMsByService = new Map<string, number>();
  for (const { parts, latencyObjectiveMs } of configuration?.routes ?? []) {
    for (const { service } of parts) {
      const minObjectiveMs = objectiveMsByService.get(service) ?? Infinity;
      objectiveMsByService.set(service, Math.min(minObjectiveMs, latencyObjectiveMs));
    }
  }
  return objectiveMsByService;
}

function tenantTable(configuration: Configuration | null): TenantTable | null {
  const tenants = configuration?.tenants ?? null;
  return tenants === null ? null : new TenantTable(tenants);
}

/** Builds the immutable catalog from the facts that are current at revision `asOf`. */
export function buildCatalog(
  asOf: number,
  facts: Iterable<CatalogFact>,
  previous: Catalog | null,
): Catalog {
  const latest = { configuration: null as Configuration | null };
  const targets = new Map<string, Target>();
  const zonesOut = new Set<string>();
  for (const fact of facts) {
    match(fact)
      .with({ kind: 'configuration' }, ({ configuration }) => {
        latest.configuration = configuration;
      })
      .with({ kind: 'target' }, ({ target }) => targets.set(target.id, target))
      .with({ kind: 'zoneOut' }, ({ zone }) => zonesOut.add(zone))
      .exhaustive();
  }
  const { configuration } = latest;
  const isConfigurationUnchanged = previous !== null && previous.configuration === configuration;
  return Object.freeze({
    asOf,
    configuration,
    routes: isConfigurationUnchanged
      ? previous.routes
      : new RouteTable(configuration?.routes ?? []),
    tenants: isConfigurationUnchanged ? previous.tenants : tenantTable(configuration),
    services: isConfigurationUnchanged
      ? previous.services
      : new Map((configuration?.services ?? []).map((service) => [service.name, service])),
    targets,
    targetsByService: groupByService(targets),
    objectiveMsByService: isConfigurationUnchanged
      ? previous.objectiveMsByService
      : minObjectiveByService(configuration),
    zonesOut,
  });
}
