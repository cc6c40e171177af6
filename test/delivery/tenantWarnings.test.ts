import { type Configuration, digestKey, type Tenant } from '../../src/catalog';
import { TenantWarnings } from '../../src/delivery/tenantWarnings';
import { type EventDefinition, type EventFields } from '../../src/logging';

const LIMITS = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

function tenant(name: string, keys: readonly string[], over: Partial<Tenant> = {}): Tenant {
  const keyDigests = keys.map(digestKey);
  return { name, keyDigests, priority: null, callsPerSecond: 0, burst: 0, ...over };
}

function configuration(version: number, tenants: readonly Tenant[] | null): Configuration {
  return { version, routes: [], services: [], limits: LIMITS, tenants };
}

function createWarnings() {
  const lines: [number, EventFields][] = [];
  const emit = (event: EventDefinition, fields: EventFields = {}) =>
    lines.push([event.number, fields]);
  return { warnings: new TenantWarnings({ emit }), lines };
}

describe('warnings of tenants', () => {
  const tenants = [
    tenant('red', ['k1', 'k2', 'k2']),
    tenant('blue', ['k1', 'k2']),
    tenant('idle', []),
    tenant('tight', ['k3'], { callsPerSecond: 5, burst: 0.5 }),
    tenant('fine', ['k4'], { callsPerSecond: 5, burst: 1 }),
  ];

  // Guards against operators who do not learn why a tenant's calls count as another one's, or are refused.
  it('name the tenants', () => {
    const { warnings, lines } = createWarnings();
    warnings.applyConfiguration(configuration(1, tenants));
    expect(lines).toEqual([
      [2211, { first: 'red', other: 'blue', keys: 2 }],
      [2212, { tenant: 'idle' }],
      [2213, { tenant: 'tight', callsPerSecond: 5, burst: 0.5 }],
    ]);
  });

  // Guards against a line for each change of the catalog.
  it('are logged once for each configuration', () => {
    const { warnings, lines } = createWarnings();
    const first = configuration(1, tenants);
    const linesAfter = (next: Configuration) => {
      warnings.applyConfiguration(next);
      return lines.length;
    };
    const again = configuration(1, tenants);
    const counts = [first, first, again, configuration(2, tenants), configuration(3, null)];
    expect(counts.map(linesAfter)).toEqual([3, 3, 3, 6, 6]);
  });
});
