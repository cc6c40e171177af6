import { type ServerMode } from '../../standins/server/serverStandin';
import { TestPlatform } from '../support/testPlatform';

const ROUTES = [
  { prefix: '/read/', service: 'reads', isIdempotent: true, timeLimitMs: 600, objectiveMs: 200 },
  { prefix: '/book/', service: 'books', isIdempotent: false, timeLimitMs: 600, objectiveMs: 200 },
];

describe('answers of servers at their worst', () => {
  let platform: TestPlatform;

  beforeEach(async () => {
    platform = new TestPlatform();
    platform.configure(ROUTES);
    await platform.addServer('reads', { id: 'i-bad', workMs: 5 });
    await platform.addServer('reads', { id: 'i-good', workMs: 5 });
    await platform.addServer('books', { id: 'i-book', workMs: 5 });
    await platform.start();
  });

  afterEach(() => platform.stop());

  const corruptModes: readonly ServerMode[] = [
    'truncated',
    'garbage',
    'unframedReset',
    'lateSurplus',
    'otherCall',
    'encoded',
    'unsigned',
    'runThenReset',
  ];

  // Guards against passing a corrupt answer to the caller as a success, and against failing a
  // lookup that another server can answer.
  it.each(corruptModes)('replaces a spoilt answer to a lookup: %s', async (mode) => {
    platform.servers.get('i-bad')!.mode = mode;
    for (let count = 0; count < 8; count += 1) {
      const id = `read-${mode}-${count}`;
      const reply = await platform.call('GET', '/read/x', { id });
      expect([reply.status, reply.body]).toEqual([200, `answer of i-good to ${id}`]);
    }
  });

  // Guards against running a non-idempotent call twice, and against reporting a call that ran as
  // "not run".
  it.each(corruptModes)('reports the outcome of a booking as unknown: %s', async (mode) => {
    const server = platform.servers.get('i-book')!;
    server.mode = mode;
    const reply = await platform.call('POST', '/book/x', { id: 'book-1', body: 'seat' });
    expect(reply.status).toBe(502);
    await platform.sleep(50);
    expect(server.runs.map((run) => run.id)).toEqual(['book-1']);
  });

  // Guards against passing on a truncated answer as complete: on the users' platform a server that
  // aborts an answer without a length closes the connection as one that has sent everything.
  it.each(['unframed', 'unframedCrash'] as const)(
    'does not pass on an answer that is delimited only by the end of the connection: %s',
    async (mode) => {
      platform.servers.get('i-book')!.mode = mode;
      const booked = await platform.call('POST', '/book/x', { id: 'book-2', body: 'seat' });
      expect(booked.status).toBe(502);
      platform.servers.get('i-bad')!.mode = mode;
      const read = await platform.call('GET', '/read/x', { id: 'read-2' });
      expect([read.status, read.body]).toEqual([200, 'answer of i-good to read-2']);
    },
  );

  // Guards against reading surplus bytes as the answer to the next call.
  it('does not reuse a connection that sent surplus bytes', async () => {
    const server = platform.servers.get('i-book')!;
    server.mode = 'surplus';
    const first = await platform.call('POST', '/book/x', { id: 'book-3', body: 'a' });
    const before = server.connectionCount;
    server.mode = 'well';
    const second = await platform.call('POST', '/book/x', { id: 'book-4', body: 'b' });
    expect(first.body).toBe('answer of i-book to book-3');
    expect([second.status, second.body]).toEqual([200, 'answer of i-book to book-4']);
    expect(server.connectionCount).toBe(before + 1);
  });

  // Guards against passing on a 503 of a server that ran the call: callers read a 503 as "not run".
  it('does not pass on a 503 without the mark that the call was not run', async () => {
    platform.servers.get('i-book')!.mode = 'shed503';
    const reply = await platform.call('POST', '/book/x', { body: 'seat' });
    expect(reply.status).toBe(502);
  });

  // Guards against replacing the status of a server's failure.
  it('passes on a failure of the server unchanged', async () => {
    platform.servers.get('i-book')!.mode = 'fails';
    const reply = await platform.call('POST', '/book/x', { body: 'seat' });
    expect([reply.status, reply.body, reply.headers['upstream-signature']]).toEqual([
      500,
      'failed',
      's.1',
    ]);
  });

  // Guards against failing a lookup because of one server while another one works.
  it('retries a lookup that failed at one server', async () => {
    platform.servers.get('i-bad')!.mode = 'fails';
    for (let count = 0; count < 6; count += 1) {
      expect((await platform.call('GET', '/read/x')).status).toBe(200);
    }
  });

  // Guards against running a call at a server that took over the address of the intended one.
  it('answers "not run" when another server at the address rejects the call', async () => {
    const server = platform.servers.get('i-book')!;
    server.mode = 'other';
    const reply = await platform.call('POST', '/book/x', { body: 'seat' });
    expect(reply.status).toBe(503);
    expect(Number(reply.headers['retry-after'])).toBeGreaterThan(0);
    expect(server.runs).toHaveLength(0);
  });

  // Guards against making the caller wait past the time limit for a server that does not answer.
  it('gives a final answer at the time limit', async () => {
    platform.servers.get('i-book')!.mode = 'silent';
    const reply = await platform.call('POST', '/book/x', { body: 'seat' });
    expect(reply.status).toBe(504);
    expect(reply.elapsedMs).toBeGreaterThan(550);
    expect(reply.elapsedMs).toBeLessThan(900);
  });

  // Guards against waiting for a server that does not answer while another one would.
  it('asks a second server when the first stays silent', async () => {
    platform.servers.get('i-bad')!.mode = 'silent';
    for (let count = 0; count < 6; count += 1) {
      const reply = await platform.call('GET', '/read/x');
      expect(reply.status).toBe(200);
      expect(reply.body).toContain('i-good');
    }
  });
});
