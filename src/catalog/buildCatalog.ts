import { match } from 'ts-pattern';

import { type Catalog } from './catalog';
import { type CatalogFact } from './catalogFact';
import { type Configuration } from './configuration';
import { RouteTable } from './routeTable';
import { type Target } from './target';

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

/** Builds the immutable catalog from the facts that hold at revision `asOf`. */
export function buildCatalog(
  asOf: number,
  facts: Iterable<CatalogFact>,
  previous: Catalog | null,
): Catalog {
  let configuration: Configuration | null = null;
  const targets = new Map<string, Target>();
  const zonesOut = new Set<string>();
  for (const fact of facts) {
    match(fact)
      .with({ kind: 'configuration' }, (held) => {
        configuration = held.configuration;
      })
      .with({ kind: 'target' }, (held) => targets.set(held.target.id, held.target))
      .with({ kind: 'zoneOut' }, (held) => zonesOut.add(held.zone))
      .exhaustive();
  }
  const held = configuration as Configuration | null;
  const unchanged = previous !== null && previous.configuration === held;
  return Object.freeze({
    asOf,
    configuration: held,
    routes: unchanged ? previous.routes : new RouteTable(held?.routes ?? []),
    services: unchanged
      ? previous.services
      : new Map((held?.services ?? []).map((service) => [service.name, service])),
    targets,
    targetsByService: groupByService(targets),
    zonesOut,
  });
}
