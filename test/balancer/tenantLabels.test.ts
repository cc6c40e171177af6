import { TenantLabels } from '../../src/balancer/tenantLabels';

describe('labels of tenants', () => {
  // Guards against metrics that grow with every tenant of every configuration.
  it('are at most a hundred names, and one for all other tenants', () => {
    const labels = new TenantLabels();
    const names = Array.from({ length: 150 }, (_, index) => `t${index}`);
    expect(new Set(names.map((name) => labels.of(name))).size).toBe(101);
    expect([labels.of('t3'), labels.of('t149'), labels.of('new')]).toEqual([
      't3',
      '(others)',
      '(others)',
    ]);
  });
});
