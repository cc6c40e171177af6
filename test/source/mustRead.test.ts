import { mustRead, type ReadingNeeds } from '../../src/source';

const NEEDS: ReadingNeeds = {
  hostId: 'host-2',
  isStopping: false,
  isFirstStart: true,
  knowsConfiguration: false,
  ageMs: 20,
  neighbours: [],
};

describe('who reads the source', () => {
  // Guards against a whole fleet that reads everything at its first start.
  it('waits for neighbours when all hosts start together', () => {
    expect(mustRead(NEEDS)).toBe(false);
    expect(mustRead({ ...NEEDS, ageMs: 300 })).toBe(true);
  });

  // Guards against callers that wait a quarter of a second longer for a host that lost its power.
  it('reads at once after a restart, until it knows a configuration', () => {
    const again = { ...NEEDS, isFirstStart: false };
    const neighbours = ['host-1', 'host-3', 'host-4', 'host-5', 'host-6'].map((hostId) => ({
      ...{ hostId, state: 'reading' as const },
    }));
    expect(mustRead(again)).toBe(true);
    expect(mustRead({ ...again, neighbours })).toBe(true);
    const readers = ['host-1', 'host-2', 'host-3'].filter((hostId) => {
      const others = ['host-1', 'host-2', 'host-3'].filter((other) => other !== hostId);
      return mustRead({
        ...again,
        ...{ hostId, knowsConfiguration: true },
        neighbours: others.map((other) => ({ hostId: other, state: 'reading' as const })),
      });
    });
    expect(readers).toHaveLength(1);
  });

  // Guards against a host that still reads for others while it leaves.
  it('never reads while it stops', () => {
    expect(mustRead({ ...NEEDS, isStopping: true, ageMs: 900 })).toBe(false);
  });
});
