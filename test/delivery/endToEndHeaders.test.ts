import { platformCallProtocol } from '../../platform/callProtocol';
import { type CallerIdentity } from '../../src/delivery/callerIdentity';
import { endToEndHeaders } from '../../src/delivery/endToEndHeaders';

const SENT = [
  ...['Host', 'h', 'authorization', 'Bearer k', 'AUTHORIZATION', 'Bearer k'],
  ...['Tenant-Id', 'forged', 'tenant_id', 'forged', 'TENANT_ID', 'forged', 'X-Tenant-Id', 'x'],
  ...['Connection', 'tenant-id'],
];

function named(name: string) {
  return { name, keyDigests: [], priority: null, callsPerSecond: 0, burst: 0 };
}

function sentWith(identity: CallerIdentity): readonly string[] {
  return endToEndHeaders(SENT, platformCallProtocol, identity);
}

describe('headers that targets get', () => {
  // Guards against keys and forged tenants at targets, and against a tenant's name that the caller has
  // removed by naming its header in `Connection`.
  it('name the tenant and keep nothing else of the identity', () => {
    const kept = ['Host', 'h', 'X-Tenant-Id', 'x'];
    expect(sentWith({ tenant: named('red') })).toEqual([...kept, 'tenant-id', 'red']);
    expect(sentWith({ tenant: null })).toEqual(kept);
  });

  // Guards against a deployment without tenants whose targets check `Authorization` themselves.
  it('are left as they are without tenants', () => {
    expect(sentWith(null)).toEqual([
      ...SENT.slice(0, 6),
      ...['tenant_id', 'forged', 'TENANT_ID', 'forged', 'X-Tenant-Id', 'x'],
    ]);
  });

  // Guards against a tenant whose calls all fail, since its name cannot be written into a header.
  it('can carry every name', () => {
    const [name, value] = sentWith({ tenant: named('a\r\nb: \u00fc\u20ac') }).slice(-2);
    expect(name).toBe('tenant-id');
    expect(Buffer.from(value!, 'latin1').toString('utf8')).toBe('a??b: \u00fc\u20ac');
  });
});
