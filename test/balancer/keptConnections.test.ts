import { BalancerProcess } from '../support/balancerProcess';
import { RawCaller } from '../support/rawCaller';
import { TestPlatform } from '../support/testPlatform';

const GRACE_S = 4;
const LOOKUP_TIMEOUT_MS = 1500;
const BOOKING_TIMEOUT_MS = 2500;

interface KeptConnection {
  readonly caller: RawCaller;
  /** Ids of the calls sent, in order. */
  readonly sent: string[];
}

describe('connections that are kept during a planned stop', () => {
  let platform: TestPlatform;

  let balancer: BalancerProcess;

  let exited: Promise<number | null>;

  let connections: KeptConnection[];

  let nextId = 0;

  beforeEach(async () => {
    platform = new TestPlatform();
    balancer = new BalancerProcess(platform);
    connections = [];
    platform.configure([
      { prefix: '/book/', service: 'books', isIdempotent: false, timeLimitMs: BOOKING_TIMEOUT_MS },
      { prefix: '/read/', service: 'reads', isIdempotent: true, timeLimitMs: LOOKUP_TIMEOUT_MS },
      { prefix: '/peek/', service: 'peeks', isIdempotent: true, timeLimitMs: LOOKUP_TIMEOUT_MS },
    ]);
    await platform.addServer('books', { id: 'i-book', workMs: 300, slots: 200 });
    await platform.addServer('reads', { id: 'i-read', workMs: 120, slots: 200 });
    await platform.addServer('peeks', { id: 'i-peek', workMs: 40, slots: 200 });
    await balancer.prepare();
    balancer.settings['stop-grace-s'] = String(GRACE_S);
    balancer.writeSettings();
    exited = balancer.launch();
    await balancer.untilReady();
    await platform.sleep(300);
  });

  afterEach(async () => {
    balancer.close();
    await platform.stop();
  });

  function connect(): KeptConnection {
    const connection = { caller: new RawCaller(platform.callerPort), sent: [] };
    connections.push(connection);
    return connection;
  }

  function send({ caller, sent }: KeptConnection, prefix: string, timeoutMs: number): void {
    nextId += 1;
    const id = `c-${nextId}`;
    sent.push(id);
    const [method, body] = prefix === 'book' ? ['POST', 'seat'] : ['GET', ''];
    const length = body === '' ? '' : `Content-Length: ${body.length}\r\n`;
    caller.write(
      `${method} /${prefix}/x HTTP/1.1\r\nHost: test.example\r\nRequest-Id: ${id}\r\n` +
        `Deadline-Ms: ${timeoutMs}\r\n${length}\r\n${body}`,
    );
  }

  /** Sends two lookups behind each other; the later one is answered first by its target. */
  function sendPair(connection: KeptConnection): void {
    send(connection, 'read', LOOKUP_TIMEOUT_MS);
    send(connection, 'peek', LOOKUP_TIMEOUT_MS);
  }

  /** Calls that a target ran, and whose callers got no answer. */
  function cutCalls(): readonly string[] {
    const answered = new Set(connections.flatMap(({ caller }) => caller.answeredIds()));
    const runs = [...platform.servers.values()].flatMap((server) => server.runs);
    return runs.map(({ id }) => id).filter((id) => !answered.has(id));
  }

  async function waitForEnd(): Promise<void> {
    expect(await exited).toBe(0);
    await Promise.all(connections.map(({ caller }) => caller.closed));
  }

  /** Stops the process; resolves when it has ended. */
  async function stop(): Promise<void> {
    balancer.child!.kill('SIGTERM');
    await waitForEnd();
  }

  // Guards against calls that are cut off when the process ends, since no answer said that their
  // connection would close: the answers to calls sent behind each other were made before their turn.
  it('closes connections whose later calls are answered first', async () => {
    const timers = Array.from({ length: 12 }, (_, index) => {
      const connection = connect();
      return setInterval(() => {
        const { caller, sent } = connection;
        const isAnswered = caller.statuses().length === sent.length;
        if (!caller.isClosed && isAnswered && !/^connection: close/im.test(caller.text))
          sendPair(connection);
      }, 100 + index);
    });
    await platform.sleep(500);
    const stoppedAt = platform.clock.now();
    await stop();
    timers.forEach((timer) => clearInterval(timer));
    expect(cutCalls()).toEqual([]);
    expect(platform.clock.now() - stoppedAt).toBeLessThan(GRACE_S * 1000);
  }, 30_000);

  // Guards against calls that are cut off on connections of callers who always have another call
  // behind the one that is being answered, and who go on after an answer with `Connection: close`.
  it('answers what it passes on for callers that never stop sending', async () => {
    const timers = Array.from({ length: 12 }, (_, index) => {
      const connection = connect();
      return setInterval(() => {
        if (!connection.caller.isClosed) sendPair(connection);
      }, 30 + index);
    });
    await platform.sleep(500);
    await stop();
    timers.forEach((timer) => clearInterval(timer));
    expect(cutCalls()).toEqual([]);
    // The answers arrive in the order of the calls, without a gap.
    for (const { caller, sent } of connections)
      expect(caller.answeredIds()).toEqual(sent.slice(0, caller.answeredIds().length));
  }, 30_000);

  // Guards against calls that are taken so late in the grace period that they cannot be answered
  // before the process ends; those that must not be repeated would be lost.
  it('rejects calls at once that may not be answered before the process ends', async () => {
    const waiting = Array.from({ length: 30 }, connect);
    balancer.child!.kill('SIGTERM');
    for (const [index, connection] of waiting.entries()) {
      setTimeout(
        () => send(connection, 'book', BOOKING_TIMEOUT_MS),
        (index + 1) * ((GRACE_S * 1000) / waiting.length),
      );
    }
    await waitForEnd();
    expect(cutCalls()).toEqual([]);
    const statuses = connections.flatMap(({ caller }) => caller.statuses());
    expect(statuses.filter((status) => status !== '200' && status !== '503')).toEqual([]);
    // Calls with enough time are still run.
    expect(statuses).toContain('200');
    const refused = connections.filter(({ caller }) => caller.statuses()[0] === '503');
    expect(refused.length).toBeGreaterThan(0);
    for (const { caller } of refused) expect(caller.text).toMatch(/^retry-after: /im);
  }, 30_000);
});
