import { buildCatalog, type Catalog, type CatalogFact } from '../../src/catalog';
import { TargetPool } from '../../src/delivery/targetPool';
import { SeededRandom } from '../../src/runtime';

function catalogOf(count: number, zonesOut: readonly string[] = []): Catalog {
  const facts: CatalogFact[] = Array.from({ length: count }, (_, index) => ({
    kind: 'target' as const,
    target: {
      ...{ id: `t-${index}`, service: 's', address: '', zone: index % 2 === 0 ? 'a' : 'b' },
      ...{ slots: 6, state: 'ready' as const, coldUntil: 0, startedAt: 1 },
    },
  }));
  return buildCatalog(
    1,
    [...facts, ...zonesOut.map((zone) => ({ kind: 'zoneOut' as const, zone }))],
    null,
  );
}

describe('the targets that a call is placed among', () => {
  let checks = 0;

  const preference = {
    has: (target: string) => {
      checks += 1;
      return ['t-0', 't-2', 't-4'].includes(target);
    },
    version: () => 1,
  };

  const createPool = () => new TargetPool('a', new SeededRandom(1), preference);

  beforeEach(() => {
    checks = 0;
  });

  // Guards against placements that take longer when a service has more targets.
  it('are few and sorted out once, however many a service has', () => {
    const pool = createPool();
    const catalog = catalogOf(1000);
    for (let call = 0; call < 200; call += 1) {
      expect(pool.preferred(catalog, 's')).toHaveLength(3);
      expect(pool.sampleOthers(catalog, 's')).toHaveLength(12);
    }
    expect(checks).toBeLessThanOrEqual(2 * 1000);
  });

  // Guards against calls that find no target although another zone, or another target, could serve
  // them, and against the use of a zone that was taken out.
  it('come from other zones when this one has none left', () => {
    const pool = createPool();
    const catalog = catalogOf(40, ['a']);
    expect(pool.preferred(catalog, 's')).toEqual([]);
    const zones = new Set(pool.sampleOthers(catalog, 's').map((target) => target.zone));
    expect([...zones]).toEqual(['b']);
  });

  // Guards against calls that are refused while all targets of this zone are cold and others are not.
  it('are also known in other zones while this one has some', () => {
    const pool = createPool();
    const sample = pool.sampleOtherZones(catalogOf(40), 's');
    expect(sample).toHaveLength(12);
    expect(sample.every(({ zone }) => zone === 'b')).toBe(true);
    // With few others in this zone, the sample of these has other zones' targets already.
    expect(pool.sampleOtherZones(catalogOf(12), 's')).toEqual([]);
  });

  // Guards against a sample that leaves out some of the targets for good.
  it('include each other target at times', () => {
    const pool = createPool();
    const catalog = catalogOf(100);
    const seen = new Set<string>();
    for (let call = 0; call < 300; call += 1)
      for (const { id } of pool.sampleOthers(catalog, 's')) seen.add(id);
    expect(seen.size).toBe(47);
  });
});
