import { type Target } from '../../src/catalog';
import { ConnectionTable } from '../../src/delivery';
import { ManualClock } from '../../src/runtime';

function targetNamed(id: string): Target {
  const place = { service: 's', zone: 'a', address: '127.0.0.1:1' };
  return { id, ...place, slots: 6, state: 'ready', coldUntil: 0, startedAt: 1 };
}

describe('connections to targets at their limit', () => {
  const [first, second] = [targetNamed('i-1'), targetNamed('i-2')];
  let clock: ManualClock;
  let table: ConnectionTable;

  beforeEach(() => {
    clock = new ManualClock();
    const observer = { onUnexpectedClose: () => {}, onOpened: () => {} };
    table = new ConnectionTable(clock, observer, { open: 2, inUseForHedges: 1 });
  });

  // Guards against connections to targets that take the descriptors of health checks and readiness.
  it('are not exceeded by calls', () => {
    expect(table.of(first).acquire('c-1')).not.toBeNull();
    expect(table.of(second).acquire('c-2')).not.toBeNull();
    expect(table.of(first).acquire('c-3')).toBeNull();
  });

  // Guards against idle connections of one target that keep calls from another one.
  it('give way to new ones when idle, the longest idle one first', () => {
    for (const [target, id] of [
      [second, 'c-1'],
      [first, 'c-2'],
    ] as const) {
      clock.advanceTo(clock.now() + 1);
      const connections = table.of(target);
      connections.release(connections.acquire(id)!, true);
    }
    expect(table.of(first).acquire('c-3')).not.toBeNull();
    expect(table.of(first).acquire('c-4')).not.toBeNull();
    expect(table.of(second).hasIdle()).toBe(false);
    expect(table.of(second).acquire('c-5')).toBeNull();
  });

  // Guards against hedges that take the connections of calls on kept connections of callers.
  it('leave connections to calls before hedges', () => {
    expect(table.mayHedge()).toBe(true);
    const connection = table.of(first).acquire('c-1')!;
    expect(table.mayHedge()).toBe(false);
    table.of(first).release(connection, true);
    expect(table.mayHedge()).toBe(true);
  });
});
