import {
  ManualClock,
  rendezvousChoice,
  rendezvousOrder,
  SeededRandom,
  TurnQueue,
  waitUntil,
} from '../src/runtime';

// Guards against timers that fire in creation order or read a later time.
test('the manual clock fires timers in order of their deadlines', () => {
  const clock = new ManualClock();
  const fired: number[] = [];
  clock.setTimer(20, () => fired.push(clock.now()));
  clock.setTimer(10, () => {
    fired.push(clock.now());
    clock.setTimer(15, () => fired.push(clock.now()));
  });
  clock.setTimer(12, () => fired.push(clock.now())).cancel();
  clock.advanceTo(30);
  expect(fired).toEqual([10, 15, 20]);
  expect(clock.now()).toBe(30);
});

// Guards against a wait that leaves its timer behind when it is aborted.
test('an aborted wait ends at once', async () => {
  const clock = new ManualClock();
  const abort = new AbortController();
  const waiting = waitUntil(clock, 1000, abort.signal);
  abort.abort();
  await waiting;
  expect(clock.now()).toBe(0);
});

// Guards against a connection that waits behind many others for as many full turns, and against tasks
// that wait for as long as connections go on arriving.
test('a turn queue that is put off leaves turns to other work, but not all', () => {
  const turns: (() => void)[] = [];
  const queue = new TurnQueue(new ManualClock(), 5, (run) => turns.push(run));
  let hasRun = false;
  let turnsPutOff = 0;
  queue.add(() => {
    hasRun = true;
  });
  for (; !hasRun && turnsPutOff < 100; turnsPutOff += 1) {
    queue.putOff();
    turns.shift()!();
  }
  expect(turnsPutOff).toBe(33);
});

// Guards against a hash that moves keys of nodes other than the removed one.
test('only the keys of a removed node move', () => {
  const nodes = ['a', 'b', 'c', 'd', 'e'];
  const keys = Array.from({ length: 1000 }, (_unused, index) => `target-${index}`);
  const without = nodes.filter((node) => node !== 'c');
  for (const key of keys) {
    const before = rendezvousChoice(key, nodes);
    const after = rendezvousChoice(key, without);
    if (before === 'c') expect(after).toBe(rendezvousOrder(key, nodes)[1]);
    else expect(after).toBe(before);
  }
  const share = keys.filter((key) => rendezvousChoice(key, nodes) === 'c').length;
  expect(share).toBeGreaterThan(130);
  expect(share).toBeLessThan(270);
});

// Guards against runs that are not reproducible from their seed.
test('equal seeds give equal numbers in range', () => {
  const left = new SeededRandom(7);
  const right = new SeededRandom(7);
  for (let count = 0; count < 100; count += 1) {
    const number = left.next();
    expect(number).toBe(right.next());
    expect(number).toBeGreaterThanOrEqual(0);
    expect(number).toBeLessThan(1);
    const integer = left.integer(6);
    expect(integer).toBe(right.integer(6));
    expect(integer).toBeLessThan(6);
  }
});
