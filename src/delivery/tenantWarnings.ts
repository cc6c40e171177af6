import { type Configuration, type Tenant } from '../catalog';
import { type EventDefinition, type EventFields, type EventSink } from '../logging';

import { DELIVERY_EVENTS } from './events';

type Warning = readonly [event: EventDefinition, fields: EventFields];

function sharedKeys(tenants: readonly Tenant[]): readonly Warning[] {
  const owners = new Map<string, Tenant>();
  const pairs = new Map<string, { readonly first: string; readonly other: string; keys: number }>();
  for (const tenant of tenants) {
    for (const digest of new Set(tenant.keyDigests)) {
      const owner = owners.get(digest);
      if (owner === undefined) owners.set(digest, tenant);
      else {
        const id = JSON.stringify([owner.name, tenant.name]);
        const pair = pairs.get(id) ?? { first: owner.name, other: tenant.name, keys: 0 };
        pair.keys += 1;
        pairs.set(id, pair);
      }
    }
  }
  return [...pairs.values()].map((pair) => [DELIVERY_EVENTS.sharedKey, { ...pair }]);
}

function withoutKeys(tenants: readonly Tenant[]): readonly Warning[] {
  return tenants
    .filter(({ keyDigests }) => keyDigests.length === 0)
    .map(({ name }) => [DELIVERY_EVENTS.tenantWithoutKeys, { tenant: name }]);
}

function unmeetableLimits(tenants: readonly Tenant[]): readonly Warning[] {
  return tenants
    .filter(({ callsPerSecond, burst }) => callsPerSecond > 0 && burst < 1)
    .map(({ name, callsPerSecond, burst }) => [
      DELIVERY_EVENTS.unmeetableLimit,
      { tenant: name, callsPerSecond, burst },
    ]);
}

const CHECKS = [sharedKeys, withoutKeys, unmeetableLimits] as const;

/** Logs what cannot be right about the tenants of a configuration, once for each configuration. */
export class TenantWarnings {
  private checked: Configuration | null = null;

  /** Version and warnings last logged; a configuration may be written again without a change. */
  private logged = '';

  constructor(private readonly events: EventSink) {}

  /** Checks a configuration that has come into force. */
  applyConfiguration(configuration: Configuration): void {
    if (configuration === this.checked) return;
    this.checked = configuration;
    const warnings = CHECKS.flatMap((check) => check(configuration.tenants ?? []));
    const text = JSON.stringify([configuration.version, warnings]);
    if (text === this.logged) return;
    this.logged = text;
    for (const [event, fields] of warnings) this.events.emit(event, fields);
  }
}
