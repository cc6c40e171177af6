import { type Catalog, type Tenant, TenantTable } from '../../src/catalog';

/** A tenant with a limit. */
export function tenantOf(name: string, callsPerSecond: number, burst: number): Tenant {
  return { name, keyDigests: [], priority: null, callsPerSecond, burst };
}

/** What quotas take from a catalog with these tenants. */
export function catalogOf(tenants: readonly Tenant[]): Pick<Catalog, 'configuration' | 'tenants'> {
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  const configuration = { version: 1, routes: [], services: [], limits, tenants };
  return { configuration, tenants: new TenantTable(tenants) };
}
