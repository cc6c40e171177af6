import { digestKey, TenantTable } from '../../src/catalog';

function tenant(name: string, keys: readonly string[]) {
  const keyDigests = keys.map(digestKey);
  return { name, keyDigests, priority: null, callsPerSecond: 0, burst: 0 };
}

describe('the table of tenants', () => {
  const table = new TenantTable([tenant('red', ['k1', 'k2']), tenant('blue', ['k2', 'k3'])]);

  // Guards against hosts that assign one key to different tenants.
  it('assigns a key of two tenants to the first one', () => {
    const owners = ['k1', 'k2', 'k3', 'k4'].map((key) => table.find(key)?.name ?? null);
    expect(owners).toEqual(['red', 'red', 'blue', null]);
  });

  // Guards against keys that can be read from memory or from messages between hosts.
  it('holds digests in place of keys', () => {
    expect(JSON.stringify(table.tenants)).not.toContain('k1');
    expect(digestKey('k1')).toHaveLength(22);
  });
});
