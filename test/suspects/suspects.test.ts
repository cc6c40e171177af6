import { ManualClock } from '../../src/runtime';
import {
  type CallIdentity,
  type Death,
  DeathWatch,
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

function death(callId: string, target: string, isolated: boolean, call = CALL): Death {
  const { service, method, path } = call;
  return { service, method, path, fingerprint: fingerprintOf(call), target, callId, isolated };
}

// Guards against a crashing call that runs on and on, and against a repeat of the warning.
test('a call is refused after a second death that it caused alone', () => {
  const convicted: Death[] = [];
  const clock = new ManualClock();
  const table = new SuspectTable(clock, (each) => convicted.push(each));
  expect(table.check(CALL)).toBeNull();
  table.add(death('1', 't-1', false));
  table.add(death('1', 't-1', false));
  expect(table.check(CALL)).toMatchObject({ refused: false });
  table.add(death('2', 't-2', true));
  table.add(death('3', 't-3', true));
  expect(table.check(CALL)).toMatchObject({ refused: true });
  expect(convicted).toHaveLength(1);
  clock.advanceBy(31 * 60 * 1000);
  expect(table.check(CALL)).toBeNull();
  table.add(death('4', 't-1', false, { ...CALL, path: '/other' }));
  expect(table.check(CALL)).toBeNull();
});

// Guards against refusing a popular lookup that was in flight when a zone failed.
test('deaths of several targets at once do not refuse the calls they ran', () => {
  const table = new SuspectTable(new ManualClock(), () => {});
  for (let target = 0; target < 5; target += 1) {
    table.add(death(String(target), `t-${target}`, false));
  }
  expect(table.check(CALL)).toMatchObject({ refused: false });
});

// Guards against mixing up calls with different bodies or keys.
test('fingerprints tell calls apart by key, or by path and body', () => {
  expect(fingerprintOf(CALL)).toBe(fingerprintOf({ ...CALL, body: Buffer.from('a') }));
  expect(fingerprintOf(CALL)).not.toBe(fingerprintOf({ ...CALL, body: Buffer.from('b') }));
  expect(fingerprintOf(CALL)).not.toBe(fingerprintOf({ ...CALL, path: '/other' }));
  const keyed = { ...CALL, key: 'k' };
  expect(fingerprintOf(keyed)).toBe(fingerprintOf({ ...keyed, body: null }));
});

// Guards against a death that is seen in a mere reset, and against one that is overlooked.
test('a lost connection counts only when the target then refuses or has a new identity', () => {
  const clock = new ManualClock();
  const deaths: string[] = [];
  const watch = new DeathWatch(clock, (each) => deaths.push(`${each.callId} ${each.target}`));
  watch.answered('t-1', 'first');
  watch.unreachable('t-1');
  watch.lost(death('1', 't-1', false));
  watch.answered('t-1', 'first');
  watch.answered('t-1', 'second');
  expect(deaths).toEqual([]);
  watch.lost(death('2', 't-1', false));
  watch.lost(death('3', 't-1', false));
  watch.answered('t-1', 'third');
  expect(deaths).toEqual(['2 t-1', '3 t-1']);
  watch.lost(death('4', 't-1', false));
  watch.unreachable('t-1');
  watch.unreachable('t-1');
  expect(deaths).toEqual(['2 t-1', '3 t-1', '4 t-1']);
  watch.lost(death('5', 't-1', false));
  clock.advanceBy(20_000);
  watch.unreachable('t-1');
  expect(deaths).toHaveLength(3);
});
