import { probeInterval } from '../../src/delivery/probeTask';
import {
  FlightOutbox,
  FlightTable,
  identityKey,
  KnowledgeTable,
  ReportOutbox,
  type TargetReport,
} from '../../src/knowledge';
import { ManualClock } from '../../src/runtime';

const TARGET = {
  ...{ id: 't1', service: 's', address: '10.0.0.1:80', zone: 'a', slots: 6 },
  ...{ state: 'ready' as const, coldUntil: 0, startedAt: 1 },
};

function report(age: number, running: number): TargetReport {
  return {
    ...{ target: 't1', age, running, waiting: 0, pace: 100, coldLeft: null },
    sight: 'probe',
  };
}

function table(clock: ManualClock, areCallsTold: boolean): KnowledgeTable {
  const known = new KnowledgeTable(
    clock,
    new FlightTable(clock),
    () => {},
    () => areCallsTold,
  );
  known.follow({ targets: new Map([['t1', TARGET]]) } as never);
  return known;
}

function datagramsInTwoSeconds(neighbours: number): number {
  const clock = new ManualClock();
  let sent = 0;
  const outbox = new ReportOutbox(clock, {
    spreadReports: (_reports, isFar) => {
      if (!isFar) sent += neighbours;
    },
    neighbourCount: () => neighbours,
  });
  for (let at = 0; at < 2000; at += 5) {
    clock.advanceTo(at);
    outbox.add({ ...report(0, 1), pace: at % 10 === 0 ? 100 : 700 });
  }
  return sent;
}

describe('a zone of many hosts', () => {
  // Guards against counts that grow with the square of the zone, in its own datagrams and between zones.
  it('tells no calls in flight', () => {
    const clock = new ManualClock();
    let sent = 0;
    const outbox = new FlightOutbox(clock, 'host-1', {
      spreadFlights: (counts) => {
        if (counts.length > 0) sent += 1;
      },
      neighbourCount: () => 37,
    });
    outbox.note(identityKey('t1'), 1, 0, true);
    outbox.passOn([{ host: 1, sequence: 1, calls: new Map([[2, 1]]) }]);
    clock.advanceTo(2000);
    outbox.turn();
    clock.advanceTo(4000);
    expect(sent).toBe(0);
  });

  // Guards against a full target that looks empty, since nobody tells its calls and reports are batched.
  it('takes the load of a target from reports of the last batch', () => {
    const clock = new ManualClock();
    clock.advanceTo(1000);
    const untold = table(clock, false);
    untold.take(report(200, 5));
    expect(untold.load(untold.get('t1')!)).toBe(5);
    const told = table(clock, true);
    told.take(report(200, 5));
    expect(told.load(told.get('t1')!)).toBe(0);
  });

  // Guards against load that is believed long after the calls that it was of have ended.
  it('forgets the load of an old report', () => {
    const clock = new ManualClock();
    clock.advanceTo(1000);
    const known = table(clock, false);
    known.take(report(0, 5));
    clock.advanceTo(1600);
    expect(known.load(known.get('t1')!)).toBe(0);
  });

  // Guards against a host whose datagrams grow with its zone while its share of the calls falls.
  it('sends fewer reports a host than a zone of a third of its size', () => {
    expect(datagramsInTwoSeconds(37)).toBeLessThan(datagramsInTwoSeconds(12));
  });
});

// Guards against probes that cost the same where calls may take seconds, and against more than the
// operators' bound of 60 a second for a target of an impatient service.
test('a target is probed by the objective of its calls, at most 23 times a second', () => {
  expect(probeInterval(0)).toBe(45);
  expect(probeInterval(120)).toBe(45);
  expect(probeInterval(400)).toBe(72);
  expect(probeInterval(10_000)).toBe(90);
});
