import {
  buildCatalog,
  type Catalog,
  type CatalogFact,
  type Configuration,
  type Route,
  type Target,
  type Tenant,
} from '../../src/catalog';

import { type ModelOptions } from './modelOptions';

function modelTenants(kinds: ModelOptions['kinds']): readonly Tenant[] | null {
  const names = new Set(kinds.flatMap(({ tenant }) => tenant ?? []));
  if (names.size === 0) return null;
  return [...names].map((name) => ({
    ...{ name, keyDigests: [name], priority: null, callsPerSecond: 0, burst: 0 },
  }));
}

/** The catalog of a modelled deployment. */
export function modelCatalog({ kinds, services, zones }: ModelOptions): Catalog {
  const routes: Route[] = kinds.map((kind) => ({
    ...{ name: kind.name, hostName: 'model', prefix: `/${kind.name}/` },
    ...{ isIdempotent: kind.isIdempotent, timeLimitMs: kind.timeLimitMs },
    ...{ latencyObjectiveMs: kind.objectiveMs, priority: kind.priority, mostAttempts: 2 },
    isPublic: kind.tenant === undefined,
    parts: [kind.service, ...(kind.otherServices ?? [])].map((service) => ({ service, weight: 1 })),
  }));
  const configuration: Configuration = {
    ...{ version: 1, routes },
    services: services.map(({ name }) => ({
      ...{ name, probePath: '/', connectionLimit: 200 },
      ...{ coldPeriodMs: 3000, coldRatePerSecond: 8 },
    })),
    tenants: modelTenants(kinds),
    limits: { headerBytes: 16_384, bodyBytes: 1e6, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  };
  const targets: Target[] = services.flatMap((service) =>
    zones.flatMap((zone, index) =>
      Array.from({ length: service.targets[index]! }, (_, number) => ({
        ...{ id: `${service.name}-${zone}-${number}`, service: service.name, zone },
        ...{ address: '10.1.0.1:80', slots: service.slots, state: 'ready' as const },
        ...{ coldUntil: 0, startedAt: 1 },
      })),
    ),
  );
  const facts: CatalogFact[] = [
    { kind: 'configuration', configuration },
    ...targets.map((target) => ({ kind: 'target' as const, target })),
  ];
  return buildCatalog(1, facts, null);
}
