import {
  type InFlightCounts,
  InFlightBroadcaster,
  InFlightTable,
  isLargeZone,
  identityKey,
} from '../../src/knowledge';
import { ManualClock } from '../../src/runtime';

function counts(host: string, sequence: number, calls: Record<string, number>): InFlightCounts {
  const entries = Object.entries(calls).map(([id, count]) => [identityKey(id), count] as const);
  return { host: identityKey(host), sequence, calls: new Map(entries) };
}

interface Sent {
  readonly counts: readonly InFlightCounts[];
  readonly isCrossZone: boolean;
}

function createBroadcaster(clock: ManualClock, neighbours = 4) {
  const sent: Sent[] = [];
  const broadcaster = new InFlightBroadcaster(clock, 'host-1', {
    broadcastInFlightCounts: (batch, isCrossZone) => sent.push({ counts: batch, isCrossZone }),
    neighbourCount: () => neighbours,
    hasInFlightBroadcasts: () => !isLargeZone(neighbours),
  });
  return { broadcaster, sent };
}

describe('in-flight counts of other hosts', () => {
  // Guards against a sum that misses hosts, so that all hosts choose the same target.
  it('are summed by target', () => {
    const table = new InFlightTable(new ManualClock());
    table.apply(counts('host-1', 1, { t1: 2 }));
    table.apply(counts('host-2', 1, { t1: 1, t2: 1 }));
    table.apply(counts('host-1', 2, { t1: 0 }));
    expect([
      table.callsAt(identityKey('t1')),
      table.callsAt(identityKey('t2')),
      table.callsAt(identityKey('t3')),
    ]).toEqual([1, 1, 0]);
  });

  // Guards against datagrams that arrive out of order.
  it('are not changed by a message that arrives out of order', () => {
    const table = new InFlightTable(new ManualClock());
    table.apply(counts('host-1', 5, { t1: 0 }));
    table.apply(counts('host-1', 4, { t1: 3 }));
    expect(table.callsAt(identityKey('t1'))).toBe(0);
  });

  // Guards against counts that are ignored when the sequence numbers begin again.
  it('are applied in order when the sequence numbers of a host begin again', () => {
    const table = new InFlightTable(new ManualClock());
    for (const [sequence, calls] of [
      [2046, 1],
      [0, 3],
      [2047, 2],
    ] as const)
      table.apply(counts('host-1', sequence, { t1: calls }));
    expect(table.callsAt(identityKey('t1'))).toBe(3);
  });

  // Guards against counts of a restarted host that are ignored, as its sequence numbers are low.
  it('of a restarted host are applied once no older datagram can be on its way', () => {
    const clock = new ManualClock();
    const table = new InFlightTable(clock);
    table.apply(counts('host-1', 900, { t1: 3 }));
    clock.advanceTo(400);
    table.apply(counts('host-1', 1, { t1: 1 }));
    expect(table.callsAt(identityKey('t1'))).toBe(1);
  });

  // Guards against targets that look full forever after a host crashed with calls in flight, and
  // against ignoring the low sequence numbers of a restarted host forever.
  it('expire when their host no longer refreshes them', () => {
    const clock = new ManualClock();
    const table = new InFlightTable(clock);
    table.apply(counts('host-1', 900, { t1: 3 }));
    clock.advanceTo(1300);
    table.removeExpired();
    expect(table.callsAt(identityKey('t1'))).toBe(0);
    table.apply(counts('host-1', 1, { t1: 1 }));
    expect(table.callsAt(identityKey('t1'))).toBe(1);
  });
});

describe('the broadcaster of in-flight counts', () => {
  // Guards against counts that are older than the time between two calls to a target.
  it('sends a call that leaves few slots within 1 ms, and to other zones within 2 ms', () => {
    const clock = new ManualClock();
    const { broadcaster, sent } = createBroadcaster(clock);
    broadcaster.recordCalls(identityKey('t1'), 1, 3, false);
    broadcaster.recordCalls(identityKey('t1'), 2, 0, true);
    clock.advanceTo(1);
    expect(sent).toEqual([{ counts: [counts('host-1', 1, { t1: 2 })], isCrossZone: false }]);
    clock.advanceTo(2);
    expect(sent[1]).toEqual({ counts: [counts('host-1', 2, { t1: 2 })], isCrossZone: true });
  });

  // Guards against a lost datagram that hides a call for as long as it runs.
  it('refreshes the counts of running calls and no others', () => {
    const clock = new ManualClock();
    const { broadcaster, sent } = createBroadcaster(clock);
    broadcaster.recordCalls(identityKey('t1'), 1, 3, false);
    broadcaster.recordCalls(identityKey('t2'), 0, 3, false);
    clock.advanceTo(40);
    sent.length = 0;
    clock.advanceTo(560);
    broadcaster.refresh();
    clock.advanceTo(640);
    expect(sent.map(({ counts: [batch] }) => [...batch!.calls])).toEqual([
      [[identityKey('t1'), 1]],
      [[identityKey('t1'), 1]],
    ]);
  });

  // Guards against a zone that never receives the counts of another one, and against an echo.
  it('rebroadcasts counts of another zone once and to its own zone only', () => {
    const clock = new ManualClock();
    const { broadcaster, sent } = createBroadcaster(clock);
    broadcaster.rebroadcast([counts('far-1', 7, { t1: 1 })]);
    broadcaster.rebroadcast([counts('far-1', 8, { t1: 2, t2: 1 })]);
    clock.advanceTo(30);
    expect(sent).toEqual([{ counts: [counts('far-1', 8, { t1: 2, t2: 1 })], isCrossZone: false }]);
  });

  // Guards against traffic that grows with the square of the zone size.
  it('sends less often in a large zone', () => {
    const clock = new ManualClock();
    const { broadcaster, sent } = createBroadcaster(clock, 36);
    for (let at = 0; at < 240; at += 4) {
      clock.advanceTo(at);
      broadcaster.recordCalls(identityKey('t1'), at, 3, false);
    }
    clock.advanceTo(300);
    expect(sent.filter(({ isCrossZone }) => !isCrossZone).length).toBeLessThanOrEqual(11);
  });
});
