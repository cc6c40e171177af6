import { type Target } from '../../src/catalog';
import { identityKey, TargetSubsets } from '../../src/knowledge';

function targets(service: string, count: number): readonly Target[] {
  return Array.from({ length: count }, (_, index) => ({
    ...{ id: `${service}-${index}`, service, address: '', zone: 'a', slots: 6 },
    ...{ state: 'ready' as const, coldUntil: 0, startedAt: 1 },
  }));
}

function hostNames(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `host-${index}`);
}

// Targets of a service with a third of the calls of a zone, 6.5 a second and host of 80 ms work, at 20%.
function targetsAtNormalLoad(slots: number, hosts: number): readonly Target[] {
  const count = Math.round((6.5 * hosts * 0.08) / (3 * 0.2 * slots));
  return targets('calm', count).map((target) => ({ ...target, slots }));
}

function catalogOf(all: readonly Target[]): never {
  return { targets: new Map(all.map((target) => [target.id, target])) } as never;
}

function subsetsOf(
  hosts: readonly string[],
  all: readonly Target[],
  zoneHosts = hosts,
): readonly TargetSubsets[] {
  return hosts.map((hostId) => {
    const subsets = new TargetSubsets({ hostId, zone: 'a', hosts: () => zoneHosts });
    subsets.refresh();
    subsets.applyCatalog(catalogOf(all));
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

  // Guards against users of a target that fill it together since they are not told each other's calls.
  it.each([1, 2, 3].flatMap((slots) => [10, 12, 25, 43, 70].map((size) => [slots, size] as const)))(
    'tell each other their calls at targets of %i slots in a zone of %i hosts',
    (slots, size) => {
      const small = targetsAtNormalLoad(slots, size);
      const hosts = hostNames(size);
      const [own, other] = subsetsOf([hosts[0]!, hosts[1]!], small, hosts);
      const usersOf = (id: string) => own!.sharersOf(id)!;
      for (const { id } of small) {
        expect(usersOf(id).length).toBeGreaterThanOrEqual(3);
        expect(usersOf(id).length).toBeLessThanOrEqual(17);
        expect(other!.sharersOf(id)).toEqual(usersOf(id));
        for (const host of [own!, other!])
          expect(host.hasInFlightBroadcasts(identityKey(id))).toBe(host.has(id));
      }
      if (slots === 1) {
        // Guards against messages of targets that a host has no need of.
        const used = small.reduce((sum, { id }) => sum + usersOf(id).length, 0);
        expect(used / size).toBeLessThan(11);
      }
      // No host is left without a target.
      for (const host of hosts)
        expect(small.some(({ id }) => usersOf(id).includes(host))).toBe(true);
    },
  );

  // Guards against users that do not send each other their counts, for longer than their views of the
  // zone differ and at more targets than follows from the difference.
  it.each([1, 2, 3].flatMap((slots) => [12, 25, 43, 70].map((size) => [slots, size] as const)))(
    'agree but for the hosts that died, joined or are cut off: %i slots, %i hosts',
    (slots, size) => {
      const small = targetsAtNormalLoad(slots, size);
      const hosts = hostNames(size);
      let seen: readonly string[] = hosts;
      const own = new TargetSubsets({ hostId: 'host-0', zone: 'a', hosts: () => seen });
      own.refresh();
      own.applyCatalog(catalogOf(small));
      const [reference] = subsetsOf(['host-0'], small, hosts);
      const views = {
        died: hosts.slice(0, -2),
        joined: [...hosts, 'host-new-1', 'host-new-2'],
        cutOff: hosts.filter((id) => id !== 'host-1' && id !== 'host-2'),
      };
      for (const view of Object.values(views)) {
        seen = view;
        expect(own.refresh()).toBe(true);
        const changed = new Set(
          [...view, ...hosts].filter((id) => !view.includes(id) || !hosts.includes(id)),
        );
        for (const { id } of small) {
          const before = new Set(reference!.sharersOf(id));
          const after = own.sharersOf(id)!;
          expect(after.every((host) => view.includes(host))).toBe(true);
          expect(after.length).toBeGreaterThanOrEqual(3);
          // Each changed host moves one place in the order, and the number of users by one place more.
          const added = after.filter((host) => !before.has(host) && !changed.has(host));
          expect(added.length).toBeLessThanOrEqual(2 * changed.size);
        }
      }
      seen = hosts;
      own.refresh();
      for (const { id } of small) expect(own.sharersOf(id)).toEqual(reference!.sharersOf(id));
    },
  );

  // Guards against a change of small zones, whose hosts all know all targets.
  it('are all targets in a small zone', () => {
    const [own] = subsetsOf(hostNames(9), all);
    expect(own!.isActive()).toBe(false);
    expect(all.every(({ id }) => own!.has(id))).toBe(true);
    expect(own!.sharersOf('many-0')).toBeNull();
  });
});
