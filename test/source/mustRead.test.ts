import { mustRead, type ReadingConditions } from '../../src/source';

const FIRST_START: ReadingConditions = {
  hostId: 'host-2',
  isStopping: false,
  isFirstStart: true,
  knowsConfiguration: false,
  uptimeMs: 20,
  neighbours: [],
};

describe('mustRead', () => {
  // Guards against every host of a fleet reading the whole catalog at the first start.
  it('waits for neighbours when all hosts start together', () => {
    expect(mustRead(FIRST_START)).toBe(false);
    expect(mustRead({ ...FIRST_START, uptimeMs: 300 })).toBe(true);
  });

  // Guards against callers that wait a quarter of a second longer after a power failure of a host.
  it('reads at once after a restart until it has a configuration', () => {
    const restarted = { ...FIRST_START, isFirstStart: false };
    const neighbours = ['host-1', 'host-3', 'host-4', 'host-5', 'host-6'].map((hostId) => ({
      ...{ hostId, state: 'reading' as const },
    }));
    expect(mustRead(restarted)).toBe(true);
    expect(mustRead({ ...restarted, neighbours })).toBe(true);
    const readers = ['host-1', 'host-2', 'host-3'].filter((hostId) => {
      const others = ['host-1', 'host-2', 'host-3'].filter((other) => other !== hostId);
      return mustRead({
        ...restarted,
        ...{ hostId, knowsConfiguration: true },
        neighbours: others.map((other) => ({ hostId: other, state: 'reading' as const })),
      });
    });
    expect(readers).toHaveLength(1);
  });

  // Guards against a host that never becomes ready, since the reader of its zone cannot be asked.
  it('reads itself if it gets no configuration from the reader of its zone', () => {
    const neighbours = ['host-1', 'host-3', 'host-4', 'host-5', 'host-6'].map((hostId) => ({
      ...{ hostId, state: 'reading' as const },
    }));
    const hosts = ['host-a', 'host-b', 'host-c', 'host-d'];
    const readersAt = (uptimeMs: number) =>
      hosts.filter((hostId) => mustRead({ ...FIRST_START, hostId, uptimeMs, neighbours }));
    expect(readersAt(1000).length).toBeLessThan(hosts.length);
    expect(readersAt(2500)).toEqual(hosts);
  });

  // Guards against a host that still reads for others while it shuts down.
  it('never reads while stopping', () => {
    expect(mustRead({ ...FIRST_START, isStopping: true, uptimeMs: 900 })).toBe(false);
  });
});
