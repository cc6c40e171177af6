import { answerText, ScriptedServer } from '../support/scriptedServer';
import { TestPlatform } from '../support/testPlatform';

const CALLS = 30;
const HEALTHY = 'HTTP/1.1 200 x\r\nUpstream-Instance: i-first\r\nContent-Length: 0\r\n\r\n';

function withHeader(text: string, line: string): string {
  return text.replace('\r\n', `\r\n${line}\r\n`);
}

describe('what a target states of itself', () => {
  let platform: TestPlatform;

  let first: ScriptedServer;

  let second: ScriptedServer;

  let addresses: string[];

  beforeEach(async () => {
    platform = new TestPlatform();
    platform.configure([{ prefix: '/book/', service: 'books', isIdempotent: false }]);
    first = new ScriptedServer('i-first');
    second = new ScriptedServer('i-second');
    addresses = [await first.listen(), await second.listen()];
    for (const [index, server] of [first, second].entries())
      platform.register('books', { id: server.id }, addresses[index]!, { born: 1 });
    await platform.start();
  });

  afterEach(async () => {
    await platform.stop();
    first.close();
    second.close();
  });

  async function call(): Promise<number> {
    const reply = await platform.call('POST', '/book/x', { body: 'seat', timeLeft: 1000 });
    return reply.status;
  }

  async function callMany(): Promise<readonly number[]> {
    return Promise.all(Array.from({ length: CALLS }, () => call()));
  }

  async function callUntilAnsweredBy(server: ScriptedServer): Promise<void> {
    for (let count = 0; count < CALLS && server.received.length === 0; count += 1) await callMany();
    expect(server.received.length).toBeGreaterThan(0);
  }

  function answerQuiet(seconds: number): void {
    first.onCall = ({ socket, id }) => {
      const text = withHeader(answerText(id, '', 503), `Retry-After: ${seconds}`);
      socket.write(withHeader(text, 'Not-Executed: 1'));
    };
  }

  async function removeSecond(): Promise<void> {
    platform.store.remove('servers/i-second');
    await platform.until(
      () => platform.events.filter(({ number }) => number === 2308).at(-1)!.fields.targets === 1,
    );
  }

  // Guards against calls to a target that has said that it leaves, while the store still lists it as
  // ready.
  it('ends its calls when an answer says that it leaves', async () => {
    first.onCall = ({ socket, id }) =>
      socket.write(withHeader(answerText(id, 'x'), 'Server-Leaving: 1'));
    await callUntilAnsweredBy(first);
    const received = first.received.length;
    expect(await callMany()).toEqual(Array(CALLS).fill(200));
    expect(first.received.length).toBe(received);
  });

  // Guards against a call to a target that leaves because no other is left.
  it('rejects calls at once when a health check says that the last target leaves', async () => {
    await removeSecond();
    first.onProbe = ({ socket }) => socket.write(withHeader(HEALTHY, 'Server-Leaving: 1'));
    await platform.sleep(1000);
    expect(await callMany()).toEqual(Array(CALLS).fill(503));
    expect(first.received).toEqual([]);
  });

  // Guards against a target that gets no calls after it has started again.
  it('gets calls again when it has started anew', async () => {
    await removeSecond();
    const { onCall } = first;
    first.onCall = ({ socket, id }) =>
      socket.write(withHeader(answerText(id, 'x'), 'Server-Leaving: 1'));
    expect(await call()).toBe(200);
    expect(await call()).toBe(503);
    first.onCall = onCall;
    platform.register('books', { id: 'i-first', slots: 5 }, addresses[0]!, { born: 1 });
    await platform.sleep(700);
    expect(await call()).toBe(503);
    platform.register('books', { id: 'i-first' }, addresses[0]!, { born: 2 });
    await platform.sleep(1000);
    expect(await call()).toBe(200);
  });

  // Guards against calls to a target that has asked for none for some time, and against one that gets
  // none afterwards, or because of a value that states no time.
  it.each([
    ['1.5', 1500],
    ['1, 1.5', 1500],
    ['0', 0],
    ['-3', 0],
    ['Sat, 05 Dec 2026 18:00:00 GMT', 0],
  ])('gets no calls for the time of its Retry-After: %s', async (value, quietMs) => {
    await removeSecond();
    const { onCall } = first;
    first.onCall = ({ socket, id }) => {
      const text = withHeader(answerText(id, '', 503), `Retry-After: ${value}`);
      socket.write(withHeader(text, 'Not-Executed: 1'));
    };
    expect(await call()).toBe(503);
    const askedAt = platform.clock.now();
    first.onCall = onCall;
    const received = first.received.length;
    while (platform.clock.now() < askedAt + quietMs - 100) {
      expect(await call()).toBe(503);
      await platform.sleep(20);
    }
    expect(first.received.length).toBe(received);
    await platform.sleep(300);
    expect(await call()).toBe(200);
  });

  // Guards against callers that come back while no target wants their calls, or that wait for nothing.
  it('tells callers at once when its quiet time ends', async () => {
    await removeSecond();
    answerQuiet(2);
    expect(await call()).toBe(503);
    const askedAt = platform.clock.now();
    const reply = await platform.call('POST', '/book/x', { body: 'seat', timeLeft: 9000 });
    const endsInMs = askedAt + 2000 - platform.clock.now();
    expect([reply.status, reply.elapsedMs < 100]).toEqual([503, true]);
    expect(Number(reply.headers['retry-after']) * 1000).toBeGreaterThanOrEqual(endsInMs);
  });

  // Guards against a burst at the end of a quiet time that makes the target turn calls away again.
  it('gets few calls until it has answered some after its quiet time', async () => {
    await removeSecond();
    answerQuiet(0.3);
    expect(await call()).toBe(503);
    let running = 0;
    const runningAtAnswer: number[] = [];
    first.onCall = ({ socket, id }) => {
      running += 1;
      setTimeout(() => {
        runningAtAnswer.push(running);
        running -= 1;
        socket.write(answerText(id, 'x'));
      }, 50);
    };
    await platform.sleep(350);
    for (let round = 0; round < 4; round += 1) await callMany();
    expect(runningAtAnswer[0]).toBe(1);
    expect(Math.max(...runningAtAnswer)).toBeGreaterThan(2);
  });
});
