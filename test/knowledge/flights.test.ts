import { type FlightCounts, FlightOutbox, FlightTable, identityKey } from '../../src/knowledge';
import { ManualClock } from '../../src/runtime';

function counts(host: string, sequence: number, calls: Record<string, number>): FlightCounts {
  const entries = Object.entries(calls).map(([id, count]) => [identityKey(id), count] as const);
  return { host: identityKey(host), sequence, calls: new Map(entries) };
}

interface Sent {
  readonly counts: readonly FlightCounts[];
  readonly isFar: boolean;
}

function outbox(clock: ManualClock, neighbours = 4) {
  const sent: Sent[] = [];
  const box = new FlightOutbox(clock, 'host-1', {
    spreadFlights: (told, isFar) => sent.push({ counts: told, isFar }),
    neighbourCount: () => neighbours,
  });
  return { box, sent };
}

describe('calls in flight of other hosts', () => {
  // Guards against a sum that misses hosts, so that all of them fill the same target.
  it('are added up by target', () => {
    const table = new FlightTable(new ManualClock());
    table.take(counts('host-1', 1, { t1: 2 }));
    table.take(counts('host-2', 1, { t1: 1, t2: 1 }));
    table.take(counts('host-1', 2, { t1: 0 }));
    expect([
      table.at(identityKey('t1')),
      table.at(identityKey('t2')),
      table.at(identityKey('t3')),
    ]).toEqual([1, 1, 0]);
  });

  // Guards against datagrams that overtake each other.
  it('are not changed by a message that was overtaken', () => {
    const table = new FlightTable(new ManualClock());
    table.take(counts('host-1', 5, { t1: 0 }));
    table.take(counts('host-1', 4, { t1: 3 }));
    expect(table.at(identityKey('t1'))).toBe(0);
  });

  // Guards against targets that look full for ever after a host died with calls in flight, and
  // against the restarted host's low sequence numbers being ignored for ever.
  it('are forgotten when their host no longer repeats them', () => {
    const clock = new ManualClock();
    const table = new FlightTable(clock);
    table.take(counts('host-1', 900, { t1: 3 }));
    clock.advanceTo(1300);
    table.sweep();
    expect(table.at(identityKey('t1'))).toBe(0);
    table.take(counts('host-1', 1, { t1: 1 }));
    expect(table.at(identityKey('t1'))).toBe(1);
  });
});

describe('the outbox of calls in flight', () => {
  // Guards against knowledge that is older than the time between two calls to a target.
  it('tells a call that leaves few slots within 1 ms, and within 2 ms to other zones', () => {
    const clock = new ManualClock();
    const { box, sent } = outbox(clock);
    box.note(identityKey('t1'), 1, 3, false);
    box.note(identityKey('t1'), 2, 0, true);
    clock.advanceTo(1);
    expect(sent).toEqual([{ counts: [counts('host-1', 1, { t1: 2 })], isFar: false }]);
    clock.advanceTo(2);
    expect(sent[1]).toEqual({ counts: [counts('host-1', 2, { t1: 2 })], isFar: true });
  });

  // Guards against a lost datagram that leaves a call unknown for as long as it runs.
  it('repeats calls that go on, and nothing else', () => {
    const clock = new ManualClock();
    const { box, sent } = outbox(clock);
    box.note(identityKey('t1'), 1, 3, false);
    box.note(identityKey('t2'), 0, 3, false);
    clock.advanceTo(40);
    sent.length = 0;
    clock.advanceTo(560);
    box.turn();
    clock.advanceTo(640);
    expect(sent.map(({ counts: [told] }) => [...told!.calls])).toEqual([
      [[identityKey('t1'), 1]],
      [[identityKey('t1'), 1]],
    ]);
  });

  // Guards against a zone that never hears of the calls of another one, and against an echo.
  it('passes on what another zone tells, once and to its own zone only', () => {
    const clock = new ManualClock();
    const { box, sent } = outbox(clock);
    box.passOn([counts('far-1', 7, { t1: 1 })]);
    box.passOn([counts('far-1', 8, { t1: 2, t2: 1 })]);
    clock.advanceTo(30);
    expect(sent).toEqual([{ counts: [counts('far-1', 8, { t1: 2, t2: 1 })], isFar: false }]);
  });

  // Guards against datagrams that grow with the square of the zone.
  it('speaks less often in a large zone', () => {
    const clock = new ManualClock();
    const { box, sent } = outbox(clock, 36);
    for (let at = 0; at < 240; at += 4) {
      clock.advanceTo(at);
      box.note(identityKey('t1'), at, 3, false);
    }
    clock.advanceTo(300);
    expect(sent.filter(({ isFar }) => !isFar).length).toBeLessThanOrEqual(11);
  });
});
