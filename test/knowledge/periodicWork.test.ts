import { confirmTargets } from '../../src/balancer/confirmTargets';
import { NoticeGossip } from '../../src/exchange/noticeGossip';
import { InFlightTable, TargetStatisticsTable, TargetSubsets } from '../../src/knowledge';
import { ManualClock, SeededRandom } from '../../src/runtime';

const TARGETS = 200;

function catalogOf(startedAt: number, size = TARGETS): never {
  const targets = Array.from({ length: size }, (_, index) => ({
    ...{ id: `i-${index}`, service: 's', address: '10.0.0.1:80', zone: 'a', slots: 6 },
    ...{ state: 'ready' as const, coldUntil: 0, startedAt },
  }));
  return { targets: new Map(targets.map((target) => [target.id, target])) } as never;
}

describe('periodic work of a host that knows many targets', () => {
  let clock: ManualClock;

  let table: TargetStatisticsTable;

  /** Number of times that a property of any target was read. */
  let reads: number;

  // Counts from now on.
  function countReads(): void {
    reads = 0;
    const count = (value: unknown) => {
      reads += 1;
      return value;
    };
    for (let index = 0; index < TARGETS; index += 1) {
      const state = table.get(`i-${index}`)!;
      for (const [name, value] of Object.entries(state))
        Object.defineProperty(state, name, { get: () => count(value) });
    }
  }

  beforeEach(() => {
    clock = new ManualClock();
    table = new TargetStatisticsTable(clock, new InFlightTable(clock), () => {});
    table.applyCatalog(catalogOf(1));
  });

  // Guards against the processor time of a gossip that looks for leaving targets among all of them.
  it('gossips about targets that leave without a look at the others', () => {
    const membership = { neighbours: () => [{ ip: '10.0.0.2' }], live: () => [{ ip: '10.0.0.2' }] };
    const sent: unknown[] = [];
    const gossip = new NoticeGossip({
      ...{ clock, random: new SeededRandom(1), membership: membership as never },
      notices: () => ({ crashes: [], leaving: table.leavingTargets() }),
      send: (_ips, message) => sent.push(message),
    });
    gossip.start();
    countReads();
    clock.advanceBy(5000);
    expect([reads, sent.length]).toEqual([0, 0]);
  });

  // Guards against notices about starts and targets that are no more, and against one that is dropped.
  it('repeats a notice until the target starts again or is removed', () => {
    table.recordLeaving({ id: 'i-1', startedAt: 1 });
    table.recordLeaving({ id: 'i-199', startedAt: 1 });
    table.applyCatalog(catalogOf(1));
    expect(table.leavingTargets().map(({ id }) => id)).toEqual(['i-1', 'i-199']);
    table.applyCatalog(catalogOf(1, TARGETS - 1));
    expect(table.leavingTargets()).toEqual([{ id: 'i-1', startedAt: 1 }]);
    table.applyCatalog(catalogOf(2));
    expect(table.leavingTargets()).toEqual([]);
  });

  // Guards against the processor time of a search for lost targets among all of them, ten times a
  // second, and against a lost target that is not checked.
  it.each([3, 38])('checks the lost targets that it uses among %d hosts', (size) => {
    const hosts = Array.from({ length: size }, (_, index) => `host-${index}`);
    const subsets = new TargetSubsets({ hostId: 'host-1', zone: 'a', hosts: () => hosts });
    subsets.refresh();
    subsets.applyCatalog(catalogOf(1));
    const ids = Array.from({ length: TARGETS }, (_, index) => `i-${index}`);
    const report = { age: 0, running: 0, waiting: 0, pace: 100, coldLeft: null, callLimit: null };
    const checked = () => {
      const found: string[] = [];
      confirmTargets(table, subsets, (id) => found.push(id));
      return found.sort();
    };
    const used = ids.filter((id) => subsets.has(id)).sort();
    expect(checked()).toEqual(used);
    for (const target of ids) table.applyReport({ ...report, target, observation: 'probe' });
    clock.advanceBy(100);
    table.applyReport({ ...report, target: used[0]!, observation: 'lost' });
    countReads();
    expect([checked(), reads]).toEqual([[used[0]], 0]);
    table.applyCatalog(catalogOf(1, 0));
    expect(checked()).toEqual([]);
  });
});
