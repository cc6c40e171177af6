import { buildCatalog, type Target } from '../../src/catalog';
import { InFlightTable, TargetStatisticsTable } from '../../src/knowledge';
import { ManualClock } from '../../src/runtime';

const TARGET: Target = {
  ...{ id: 'i-1', service: 's', address: '10.1.0.1:80', zone: 'a', slots: 6 },
  ...{ state: 'ready', coldUntil: 0, startedAt: 5 },
};

function catalogOf(startedAt: number | null) {
  return buildCatalog(1, [{ kind: 'target', target: { ...TARGET, startedAt } }], null);
}

function makeTable(): TargetStatisticsTable {
  const clock = new ManualClock();
  return new TargetStatisticsTable(clock, new InFlightTable(clock), () => {});
}

describe('a notice of a leaving target that comes before the target', () => {
  // Guards against a host that joins and drops what it is told before it has its catalog.
  it('holds for the start that it names', () => {
    const table = makeTable();
    table.recordLeaving({ id: 'i-1', startedAt: 5 });
    table.applyCatalog(catalogOf(5));
    expect(table.isLeaving('i-1')).toBe(true);
  });

  // Guards against an old notice that ends a target which was started again.
  it.each([4, 6, null])('holds for no other start: %p', (startedAt) => {
    const table = makeTable();
    table.recordLeaving({ id: 'i-1', startedAt });
    table.applyCatalog(catalogOf(startedAt === null ? null : 5));
    expect(table.isLeaving('i-1')).toBe(false);
  });

  // Guards against notices of targets that never appear and fill the memory of a host.
  it('is dropped when many others came after it', () => {
    const table = makeTable();
    table.recordLeaving({ id: 'i-1', startedAt: 5 });
    for (let other = 0; other < 1000; other += 1)
      table.recordLeaving({ id: `other-${other}`, startedAt: 5 });
    table.applyCatalog(catalogOf(5));
    expect(table.isLeaving('i-1')).toBe(false);
  });
});
