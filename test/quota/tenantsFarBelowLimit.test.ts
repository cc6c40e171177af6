import { TenantsFarBelowLimit } from '../../src/quota/tenantsFarBelowLimit';
import { ManualClock } from '../../src/runtime';

const LIFETIME_MS = 5000;

describe('tenants far below their limits', () => {
  // Guards against a substitute that grants the full rate on the word of an owner that was lost long ago.
  it('are so for 5 s after the last decision, also when no further call is decided', () => {
    const clock = new ManualClock();
    const tenants = new TenantsFarBelowLimit(clock);
    tenants.record(1, { kind: 'granted', isFarBelowLimit: true });
    clock.advanceBy(LIFETIME_MS - 1);
    expect(tenants.has(1)).toBe(true);
    clock.advanceBy(1);
    expect(tenants.has(1)).toBe(false);
  });

  // Guards against a tenant that reached its limit meanwhile.
  it.each([
    { kind: 'granted', isFarBelowLimit: false },
    { kind: 'exceeded', waitMs: 10 },
    { kind: 'unknown', waitMs: 10 },
  ] as const)('end with the result $kind', (result) => {
    const tenants = new TenantsFarBelowLimit(new ManualClock());
    tenants.record(1, { kind: 'granted', isFarBelowLimit: true });
    tenants.record(2, { kind: 'granted', isFarBelowLimit: true });
    tenants.record(1, result);
    expect([tenants.has(1), tenants.has(2)]).toEqual([false, true]);
  });
});
