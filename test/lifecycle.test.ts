import { Lifecycle } from '../src/lifecycle';

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
