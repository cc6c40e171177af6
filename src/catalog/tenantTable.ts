import { digestKey } from './digestKey';
import { type Tenant } from './tenant';

/** The tenants of a configuration, by name and by key. */
export class TenantTable {
  private readonly byName = new Map<string, Tenant>();

  private readonly byDigest = new Map<string, Tenant>();

  /** A key that several tenants have belongs to the first of them. */
  constructor(readonly tenants: readonly Tenant[]) {
    for (const tenant of tenants) {
      if (!this.byName.has(tenant.name)) this.byName.set(tenant.name, tenant);
      for (const digest of tenant.keyDigests)
        if (!this.byDigest.has(digest)) this.byDigest.set(digest, tenant);
    }
  }

  /** The tenant that has the key; null when none has. */
  find(key: string): Tenant | null {
    return this.byDigest.get(digestKey(key)) ?? null;
  }

  /** The tenant with this name; null when there is none. */
  get(name: string): Tenant | null {
    return this.byName.get(name) ?? null;
  }
}
