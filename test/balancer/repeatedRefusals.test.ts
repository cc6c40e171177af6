import { RawCaller } from '../support/rawCaller';
import { answerText, ScriptedServer, type ScriptedRequest } from '../support/scriptedServer';
import { TestPlatform } from '../support/testPlatform';

// Time from the moment at which the server begins to run the call until the copy of a refusal.
const DELAYS = [0, 5, 50, 150];
// Longer than the last delay.
const RUN_MS = 250;
const REFUSALS = [503, 429, 421, 408];
const METHODS = ['POST', 'GET'] as const;
// Longer than the part of a body that is buffered before the call is sent.
const FIRST_PART_BYTES = 300_000;
const HEALTHY = 'HTTP/1.1 200 x\r\nUpstream-Instance: i-0\r\nContent-Length: 0\r\n\r\n';

type Method = (typeof METHODS)[number];

function refusalText(id: string, status = 503): string {
  return answerText(id, 'full', status).replace(' x\r\n', ' x\r\nNot-Executed: 1\r\n');
}

describe('a refusal that a server writes once more', () => {
  let platform: TestPlatform;

  let servers: ScriptedServer[];

  beforeEach(() => {
    platform = new TestPlatform();
    servers = [];
  });

  afterEach(async () => {
    await platform.stop();
    for (const server of servers) server.close();
  });

  async function start(method: Method, count: number, serverCount: number): Promise<void> {
    const isIdempotent = method === 'GET';
    const names = Array.from({ length: count }, (_, index) => `s${index}`);
    platform.configure(
      names.map((service) => ({
        ...{ prefix: `/${service}/`, service, isIdempotent, timeLimitMs: 1500 },
      })),
    );
    for (const service of names)
      for (let index = 0; index < serverCount; index += 1) {
        const server = new ScriptedServer(`i-${servers.length}`);
        servers.push(server);
        platform.register(service, { id: server.id }, await server.listen());
      }
    await platform.start();
  }

  async function callLong(path: string, id: string): Promise<number> {
    const caller = new RawCaller(platform.callerPort);
    caller.write(
      `POST ${path} HTTP/1.1\r\nHost: test.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 2000\r\n` +
        `Content-Length: ${2 * FIRST_PART_BYTES}\r\n\r\n${'x'.repeat(FIRST_PART_BYTES)}`,
    );
    await platform.sleep(RUN_MS - 50);
    caller.write('x'.repeat(FIRST_PART_BYTES));
    await platform.until(() => caller.statuses().length > 0);
    caller.leave();
    return Number(caller.statuses()[0]);
  }

  interface Case {
    readonly method: Method;
    readonly serverCount: number;
    /** Id that the copy carries: none, that of an earlier call, or that of the call itself. */
    readonly copyId: 'none' | 'earlier' | 'own';
    /** Whether the call is sent on the connection of the call that was refused. */
    readonly isKept: boolean;
    readonly isLong: boolean;
  }

  /** Status that the caller of a call gets while a server runs it and writes the copy. */
  async function statusOfCopiedCall(test: Case, index: number): Promise<string> {
    const { method, copyId, serverCount } = test;
    const own = servers.slice(index * serverCount, (index + 1) * serverCount);
    const path = `/s${index}/x`;
    const refusedId = copyId === 'own' ? 'own' : 'refused';
    const status = REFUSALS[index]!;
    const firstSockets = new Map<ScriptedServer, ScriptedRequest['socket']>();
    const state = { isRefusing: test.isKept, runs: 0 };
    for (const server of own)
      server.onCall = ({ socket, id }) => {
        if (id === '') return;
        if (state.isRefusing) {
          firstSockets.set(server, socket);
          socket.write(refusalText(id, status));
          return;
        }
        state.runs += 1;
        const copy = refusalText(copyId === 'none' ? '' : refusedId, status);
        const copySocket = firstSockets.get(server) ?? socket;
        if (state.runs === 1) setTimeout(() => copySocket.write(copy), DELAYS[index]);
        setTimeout(() => socket.write(answerText(id, 'ran')), RUN_MS);
      };
    const options = method === 'POST' ? { body: 'seat' } : {};
    while (state.isRefusing) {
      await platform.call(method, path, { ...options, id: refusedId });
      state.isRefusing = firstSockets.size < serverCount;
    }
    // A caller that was turned away before the call was sent comes again.
    let answered = 0;
    for (let tries = 0; state.runs === 0 && tries < 50; tries += 1) {
      answered = test.isLong
        ? await callLong(path, 'own')
        : (await platform.call(method, path, { ...options, id: 'own' })).status;
    }
    const isTwice = state.runs > 1 && method === 'POST';
    return `${answered}${isTwice ? ' and ran twice' : ''}${state.runs === 0 ? ' and never sent' : ''}`;
  }

  const kept = METHODS.flatMap((method) =>
    [1, 2].flatMap((serverCount) =>
      (['none', 'earlier', 'own'] as const).map((copyId) => ({
        ...{ method, serverCount, copyId, isKept: true, isLong: false },
      })),
    ),
  );
  const fresh = METHODS.flatMap((method) =>
    [1, 2].map((serverCount) => ({
      ...{ method, serverCount, copyId: 'none' as const, isKept: false, isLong: false },
    })),
  );
  const long = (['none', 'earlier', 'own'] as const).map((copyId) => ({
    ...{ method: 'POST' as const, serverCount: 1, copyId, isKept: copyId !== 'none', isLong: true },
  }));

  // Guards against telling a caller that its call was not run while a server runs it, and against
  // sending such a call to a second server.
  it.each<Case>([...kept, ...fresh, ...long])(
    'does not refuse a call that runs: $method, $serverCount servers, id $copyId, kept $isKept, long $isLong',
    async (test) => {
      await start(test.method, DELAYS.length, test.serverCount);
      const statuses = await Promise.all(DELAYS.map((_, index) => statusOfCopiedCall(test, index)));
      const isRepeatable = test.method === 'GET' && test.serverCount > 1;
      const isUndisturbed = test.copyId === 'own' || isRepeatable;
      expect(statuses.filter((status) => !/^(200|502)$/.test(status))).toEqual([]);
      if (isUndisturbed) expect(statuses).toEqual(DELAYS.map(() => '200'));
    },
  );

  // Guards against taking the copy for the answer of a second attempt, so that nobody waits for it.
  it.each(DELAYS)('does not end a hedge, %d ms after it began', async (delayMs) => {
    await start('GET', 1, 2);
    const firstSockets = new Map<ScriptedServer, ScriptedRequest['socket']>();
    const state = { isRefusing: true, runs: 0 };
    for (const server of servers)
      server.onCall = ({ socket, id }) => {
        if (state.isRefusing) {
          firstSockets.set(server, socket);
          socket.write(refusalText(id));
          return;
        }
        state.runs += 1;
        if (state.runs === 1) return;
        setTimeout(() => firstSockets.get(server)!.write(refusalText(id)), delayMs);
        setTimeout(() => socket.write(answerText(id, 'ran')), RUN_MS);
      };
    while (firstSockets.size < 2) await platform.call('GET', '/s0/x', { id: 'own' });
    state.isRefusing = false;
    let status = 0;
    while (state.runs === 0) status = (await platform.call('GET', '/s0/x', { id: 'own' })).status;
    expect([status, state.runs]).toEqual([200, 2]);
  });

  // Guards against believing a copy that arrives as its connection is given to the next call.
  it.each(['refused', 'waiting', ''])(
    'does not end a call that waits for a slot: id "%s"',
    async (id) => {
      await start('POST', 1, 1);
      const [server] = servers;
      platform.register('s0', { id: 'i-0', slots: 1 }, server!.address, { born: 2 });
      await platform.sleep(300);
      const ran: string[] = [];
      server!.onCall = (request) => {
        if (request.id !== 'refused') {
          ran.push(request.id);
          setTimeout(() => request.socket.write(answerText(request.id, 'ran')), RUN_MS);
        } else setTimeout(() => request.socket.write(refusalText('refused') + refusalText(id)), 20);
      };
      const [refused, waiting] = await Promise.all([
        platform.call('POST', '/s0/x', { id: 'refused', body: 'a' }),
        platform.call('POST', '/s0/x', { id: 'waiting', body: 'b' }),
      ]);
      expect([refused.status, ran.length <= 1]).toEqual([503, true]);
      expect(ran.length === 0 ? [503] : [200, 502]).toContain(waiting.status);
    },
  );

  // Guards against calls that are refused for long, or untruly, after a copy among health checks.
  it.each(['before', 'after', 'later'])(
    'does not end the use of a healthy server: %s',
    async (moment) => {
      await start('POST', 1, 1);
      const [server] = servers;
      let copies = 0;
      server!.onProbe = ({ socket }) => {
        copies += 1;
        if (copies < 4 && moment === 'before') socket.write(refusalText(''));
        socket.write(copies < 4 && moment === 'after' ? HEALTHY + refusalText('') : HEALTHY);
        if (copies < 4 && moment === 'later') setTimeout(() => socket.write(refusalText('')), 20);
      };
      await platform.until(() => copies >= 4);
      const callsBefore = server!.received.length;
      const replies = [];
      for (let count = 0; count < 10; count += 1)
        replies.push((await platform.call('POST', '/s0/x', { body: 'seat' })).status);
      expect(replies.filter((status) => status === 200)).toHaveLength(
        server!.received.length - callsBefore,
      );
      expect(replies.slice(-5)).toEqual([200, 200, 200, 200, 200]);
    },
  );

  // Guards against leaving a server alone because of what an answer without identity states of it.
  it.each(['Retry-After: 30', 'Server-Leaving: 1'])(
    'does not heed a copy with %s',
    async (line) => {
      await start('POST', 1, 1);
      const [server] = servers;
      server!.onCall = ({ socket, id }) =>
        socket.write(
          id === 'first'
            ? refusalText('').replace('\r\n', `\r\n${line}\r\n`)
            : answerText(id, 'ran'),
        );
      expect((await platform.call('POST', '/s0/x', { id: 'first', body: 'seat' })).status).toBe(
        502,
      );
      expect((await platform.call('POST', '/s0/x', { body: 'seat' })).status).toBe(200);
    },
  );

  // Guards against sending a call whose answer nothing would identify.
  it('rejects a call without an id, unsent', async () => {
    await start('POST', 1, 1);
    const replies = [1, 2].map(() => platform.call('POST', '/s0/x', { id: '', body: 'seat' }));
    const statuses = (await Promise.all(replies)).map(({ status }) => status);
    expect([statuses, servers[0]!.received]).toEqual([[400, 400], []]);
  });

  // Guards against doubting refusals that are true, and against a new connection for each of them.
  it.each(REFUSALS.flatMap((status) => METHODS.map((method) => ({ status, method }))))(
    'leaves true refusals as they are: $status, $method',
    async ({ status, method }) => {
      await start(method, 2, 2);
      const [full, fullToo, refusing, serving] = servers;
      const sockets = new Set<ScriptedRequest['socket']>();
      for (const server of [full!, fullToo!, refusing!])
        server.onCall = ({ socket, id }) => {
          sockets.add(socket);
          socket.write(refusalText(id, status));
        };
      const options = method === 'POST' ? { body: 'seat' } : {};
      for (let count = 0; count < 6; count += 1) {
        const refused = await platform.call(method, '/s0/x', options);
        expect([refused.status, Number(refused.headers['retry-after']) > 0]).toEqual([503, true]);
        expect((await platform.call(method, '/s1/x', options)).status).toBe(200);
      }
      expect(full!.received.length + fullToo!.received.length).toBeGreaterThan(2);
      expect(serving!.received).toHaveLength(6);
      expect(sockets.size).toBeLessThanOrEqual(3);
      // A caller whose body is still on its way, and one that keeps its id, get true refusals as well.
      if (method === 'POST') expect(await callLong('/s0/x', 'long')).toBe(503);
      for (let count = 0; count < 3; count += 1)
        expect((await platform.call(method, '/s0/x', { ...options, id: 'kept' })).status).toBe(503);
    },
  );
});
