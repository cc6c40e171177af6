import { type Target } from '../../src/catalog';
import { TargetSubsets } from '../../src/knowledge';

function targets(service: string, count: number): readonly Target[] {
  return Array.from({ length: count }, (_, index) => ({
    ...{ id: `${service}-${index}`, service, address: '', zone: 'a', slots: 6 },
    ...{ state: 'ready' as const, coldUntil: 0, startedAt: 1 },
  }));
}

function hostNames(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `host-${index}`);
}

function subsetsOf(hosts: readonly string[], all: readonly Target[]): readonly TargetSubsets[] {
  return hosts.map((hostId) => {
    const subsets = new TargetSubsets({ hostId, zone: 'a', hosts: () => hosts });
    subsets.refresh();
    subsets.applyCatalog({ targets: new Map(all.map((target) => [target.id, target])) } as never);
    return subsets;
  });
}

describe('the subsets of a large zone', () => {
  const all = [...targets('many', 85), ...targets('few', 9)];

  // Guards against a target without users or prober, and against work that depends on the zone size.
  it('give each target a few users, of which one checks its health', () => {
    for (const zoneSize of [30, 70, 280]) {
      const subsets = subsetsOf(hostNames(zoneSize), all);
      for (const target of all) {
        const sharers = subsets[0]!.sharersOf(target.id)!;
        expect(sharers.length).toBeGreaterThanOrEqual(3);
        expect(subsets.filter((own) => own.has(target.id))).toHaveLength(sharers.length);
        expect(subsets.filter((own) => own.isProber(target.id))).toHaveLength(1);
      }
      const used = subsets.map((own) => all.filter(({ id }) => own.has(id)).length);
      expect(used.reduce((sum, count) => sum + count, 0) / zoneSize).toBeLessThan(15);
    }
  });

  // Guards against calls that are sent to unknown targets because the few preferred ones are full.
  it('have more targets where targets have few slots', () => {
    const small = targets('small', 49).map((target) => ({ ...target, slots: 2 }));
    const subsets = subsetsOf(hostNames(45), small);
    const used = subsets.map((own) => small.filter(({ id }) => own.has(id)).length);
    expect(used.reduce((sum, count) => sum + count, 0) / 45).toBeGreaterThan(8);
  });

  // Guards against connections and knowledge that are lost because one host left.
  it('change little when a host leaves', () => {
    const hosts = hostNames(70);
    const [before] = subsetsOf(hosts, all);
    const [after] = subsetsOf(hosts.slice(0, -1), all);
    const changed = all.filter(({ id }) => before!.has(id) !== after!.has(id));
    expect(changed.length).toBeLessThanOrEqual(2);
  });

  // Guards against a change of small zones, whose hosts all know all targets.
  it('are all targets in a small zone', () => {
    const [own] = subsetsOf(hostNames(9), all);
    expect(own!.isActive()).toBe(false);
    expect(all.every(({ id }) => own!.has(id))).toBe(true);
    expect(own!.sharersOf('many-0')).toBeNull();
  });
});
