import { Lifecycle, Supervisor } from '../src/lifecycle';
import { ManualClock } from '../src/runtime';

// Guards against closing a resource before those that still use it.
test('resources close once, in reverse order', async () => {
  const closed: string[] = [];
  const lifecycle = new Lifecycle();
  lifecycle.own('first', () => {
    closed.push('first');
  });
  lifecycle.own('second', async () => {
    await Promise.resolve();
    closed.push('second');
  });
  await Promise.all([lifecycle.close(), lifecycle.close()]);
  expect(closed).toEqual(['second', 'first']);
  expect(lifecycle.open()).toEqual([]);
});

// Guards against leaving resources open after one fails to close.
test('a resource that fails to close is reported and the others still close', async () => {
  const closed: string[] = [];
  const lifecycle = new Lifecycle();
  lifecycle.own('first', () => {
    closed.push('first');
  });
  lifecycle.own('second', () => {
    throw new Error('busy');
  });
  const errors = await lifecycle.close();
  expect(errors.map((error) => error.resource)).toEqual(['second']);
  expect(closed).toEqual(['first']);
  expect(() => lifecycle.own('late', () => {})).toThrow('closing');
});

// Guards against a task that fails again and again and keeps the process busy, or is started ever later.
test('a task that fails is started again after a growing, bounded delay', async () => {
  const clock = new ManualClock();
  const starts: number[] = [];
  const ended = new Supervisor(clock, () => {
    throw new Error('the log fails too');
  }).run('task', () => {
    starts.push(clock.now());
    if (starts.length < 8) throw new Error('unexpected');
    return Promise.resolve();
  });
  for (let turn = 0; turn < 800; turn += 1) {
    clock.advanceBy(10);
    await Promise.resolve();
    await Promise.resolve();
  }
  await ended;
  const delays = starts.slice(1).map((at, index) => at - starts[index]!);
  expect(delays).toEqual([100, 200, 400, 800, 1600, 2000, 2000]);
});
