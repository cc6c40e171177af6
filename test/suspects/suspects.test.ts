import { ManualClock } from '../../src/runtime';
import {
  type CallIdentity,
  type TargetCrash,
  CrashDetector,
  fingerprintOf,
  SuspectTable,
} from '../../src/suspects';

const CALL: CallIdentity = {
  service: 'guide',
  method: 'GET',
  path: '/crash',
  key: null,
  body: Buffer.from('a'),
};

function crash(callId: string, target: string, isolated: boolean, call = CALL): TargetCrash {
  const { service, method, path } = call;
  return { service, method, path, fingerprint: fingerprintOf(call), target, callId, isolated };
}

// Guards against a crash-inducing call that is never refused, and against a repeated warning.
test('a call is refused after a second crash as the only suspect', () => {
  const refused: TargetCrash[] = [];
  const clock = new ManualClock();
  const table = new SuspectTable(clock, (each) => refused.push(each));
  expect(table.check(CALL)).toBeNull();
  table.add(crash('1', 't-1', false));
  table.add(crash('1', 't-1', false));
  expect(table.check(CALL)).toMatchObject({ refused: false });
  table.add(crash('2', 't-2', true));
  table.add(crash('3', 't-3', true));
  expect(table.check(CALL)).toMatchObject({ refused: true });
  expect(refused).toHaveLength(1);
  clock.advanceBy(31 * 60 * 1000);
  expect(table.check(CALL)).toBeNull();
  table.add(crash('4', 't-1', false, { ...CALL, path: '/other' }));
  expect(table.check(CALL)).toBeNull();
});

// Guards against refusing a popular lookup that was in flight when a zone failed.
test('simultaneous crashes of several targets do not lead to refusal of their calls', () => {
  const table = new SuspectTable(new ManualClock(), () => {});
  for (let target = 0; target < 5; target += 1) {
    table.add(crash(String(target), `t-${target}`, false));
  }
  expect(table.check(CALL)).toMatchObject({ refused: false });
});

// Guards against confusing calls with different bodies or keys.
test('fingerprints distinguish calls by key, or by path and body', () => {
  expect(fingerprintOf(CALL)).toBe(fingerprintOf({ ...CALL, body: Buffer.from('a') }));
  expect(fingerprintOf(CALL)).not.toBe(fingerprintOf({ ...CALL, body: Buffer.from('b') }));
  expect(fingerprintOf(CALL)).not.toBe(fingerprintOf({ ...CALL, path: '/other' }));
  const keyed = { ...CALL, key: 'k' };
  expect(fingerprintOf(keyed)).toBe(fingerprintOf({ ...keyed, body: null }));
});

// Guards against taking a mere connection reset for a crash, and against missing a crash.
test('a lost connection counts only when the target then refuses or has a new identity', () => {
  const clock = new ManualClock();
  const crashes: string[] = [];
  const detector = new CrashDetector(clock, (each) =>
    crashes.push(`${each.callId} ${each.target}`),
  );
  detector.targetAnswered('t-1', 'first');
  detector.targetUnreachable('t-1');
  detector.connectionLost(crash('1', 't-1', false));
  detector.targetAnswered('t-1', 'first');
  detector.targetAnswered('t-1', 'second');
  expect(crashes).toEqual([]);
  detector.connectionLost(crash('2', 't-1', false));
  detector.connectionLost(crash('3', 't-1', false));
  detector.targetAnswered('t-1', 'third');
  expect(crashes).toEqual(['2 t-1', '3 t-1']);
  detector.connectionLost(crash('4', 't-1', false));
  detector.targetUnreachable('t-1');
  detector.targetUnreachable('t-1');
  expect(crashes).toEqual(['2 t-1', '3 t-1', '4 t-1']);
  detector.connectionLost(crash('5', 't-1', false));
  clock.advanceBy(20_000);
  detector.targetUnreachable('t-1');
  expect(crashes).toHaveLength(3);
});
