import { ScriptedServer } from '../support/scriptedServer';
import { TestPlatform } from '../support/testPlatform';

const TIME_LIMIT_MS = 1000;

const INVALID = [
  ...['000', '001', '099', '600', '999', '1000', '20', '2 0', '-20', '+200', '0x0', ''],
  ...['101', '1e2', '200.5'],
];

/** An answer of a server in which the status, and what follows the head, are scripted. */
function answer(id: string, status: string, body: string, reason = ' x'): string {
  return [
    `HTTP/1.1 ${status}${reason}`,
    ...[`Request-Id: ${id}`, 'Upstream-Signature: s.1', `Content-Length: ${body.length}`],
    ...['', body],
  ].join('\r\n');
}

describe('an answer', () => {
  let platform: TestPlatform;

  let server: ScriptedServer;

  beforeEach(async () => {
    platform = new TestPlatform();
    const common = { service: 'all', timeLimitMs: TIME_LIMIT_MS };
    platform.configure([
      { ...common, prefix: '/read/', isIdempotent: true, mostAttempts: 1 },
      { ...common, prefix: '/book/', isIdempotent: false },
    ]);
    server = new ScriptedServer('i-bad');
    platform.register('all', { id: 'i-bad' }, await server.listen());
    await platform.start();
  });

  afterEach(async () => {
    await platform.stop();
    server.close();
  });

  const call = (method: string) =>
    method === 'GET'
      ? platform.call('GET', '/read/x')
      : platform.call('POST', '/book/x', { body: 'b' });

  // Guards against a caller that takes the bytes of a target in trouble for an answer to its call.
  it.each(INVALID)('with the status %j is not passed on', async (status) => {
    for (const method of ['GET', 'POST']) {
      server.onCall = ({ socket, id }) => socket.write(answer(id, status, 'in trouble'));
      const reply = await call(method);
      expect({ method, status: reply.status }).toEqual({ method, status: 502 });
      expect(reply.body).not.toContain('in trouble');
      expect(reply.elapsedMs).toBeLessThan(TIME_LIMIT_MS);
      // Its connection carries no further call.
      server.onCall = ({ socket, id }) => socket.write(answer(id, '200', 'well'));
      expect({ method, body: (await call(method)).body }).toEqual({ method, body: 'well' });
    }
  });

  // Guards against valid answers that are lost with the invalid ones.
  it.each([
    ['the lowest failure', '400', ' x'],
    ['the highest status', '599', ' x'],
    ['no reason', '200', ' '],
    ['a reason of 8 KB', '200', ` ${'x'.repeat(8192)}`],
  ])('with %s is passed on', async (_, status, reason) => {
    server.onCall = ({ socket, id }) => socket.write(answer(id, status, 'well', reason));
    const reply = await call('GET');
    expect([reply.status, reply.body]).toEqual([Number(status), 'well']);
  });

  // Guards against a body that stands where the next answer is expected. A 204 that states a length
  // contradicts itself, and a 304 states the length of another answer.
  it.each([
    ['204', 502],
    ['304', 304],
  ])('with the status %s and a body reaches its caller without it', async (status, expected) => {
    server.onCall = ({ socket, id }) => socket.write(answer(id, status, 'surplus'));
    const reply = await call('GET');
    expect(reply.status).toBe(expected);
    expect(reply.body).not.toContain('surplus');
    server.onCall = ({ socket, id }) => socket.write(answer(id, '200', 'well'));
    expect((await call('GET')).body).toBe('well');
  });
});
