import { answerText, ScriptedServer } from '../support/scriptedServer';
import { TestPlatform } from '../support/testPlatform';

const LOOKUP = { prefix: '/look/', service: 'maps', isIdempotent: true, timeLimitMs: 1000 };
const UNREADABLE_LIMIT_EVENT = 2208;

function limitedAnswer(id: string, ...limits: readonly string[]): string {
  const fields = limits.map((limit) => `Server-Limit: ${limit}\r\n`).join('');
  return answerText(id, `answer to ${id}`).replace('Upstream-Load', `${fields}Upstream-Load`);
}

describe('a target that limits its calls', () => {
  let platform: TestPlatform;

  let limited: ScriptedServer;

  let limits: readonly string[];

  beforeEach(async () => {
    platform = new TestPlatform();
    platform.configure([LOOKUP]);
    limits = ['2'];
    limited = new ScriptedServer('i-limited');
    limited.onCall = ({ socket, id }) => socket.write(limitedAnswer(id, ...limits));
    platform.register('maps', { id: 'i-limited' }, await limited.listen());
    await platform.start();
  });

  afterEach(async () => {
    await platform.stop();
    limited.close();
  });

  async function callFor(milliseconds: number) {
    const replies = [];
    const end = platform.clock.now() + milliseconds;
    while (platform.clock.now() < end) {
      replies.push(platform.call('GET', '/look/x'));
      await platform.sleep(40);
    }
    return Promise.all(replies);
  }

  // Guards against calls beyond a limit because no other target is left, and against refusals that
  // are not true or come late.
  it('gets no more calls than it takes; the others are refused at once', async () => {
    await platform.call('GET', '/look/x');
    const before = limited.received.length;
    const replies = await callFor(4000);
    const calls = limited.received.length - before;
    expect(calls).toBeGreaterThan(2);
    expect(calls).toBeLessThanOrEqual(1.5 * 4 * 2 + 5);
    const refused = replies.filter(({ status }) => status === 503);
    expect(replies.filter(({ status }) => status === 200)).toHaveLength(calls);
    expect(refused).toHaveLength(replies.length - calls);
    for (const { headers, elapsedMs } of refused) {
      expect(Number(headers['retry-after'])).toBeGreaterThan(0);
      expect(elapsedMs).toBeLessThan(500);
    }
  });

  // Guards against a limit that is kept after the target has ended it.
  it('gets all calls again after an answer without a limit', async () => {
    await platform.call('GET', '/look/x');
    limits = [];
    await callFor(1500);
    const replies = await callFor(400);
    expect(replies.map(({ status }) => status)).toEqual(replies.map(() => 200));
  });

  // Guards against a limit of zero that never ends because no call shows its end.
  it('gets a call from time to time at a limit of zero', async () => {
    limits = ['0'];
    await platform.call('GET', '/look/x');
    const before = limited.received.length;
    await callFor(6000);
    const calls = limited.received.length - before;
    expect(calls).toBeGreaterThanOrEqual(1);
    expect(calls).toBeLessThanOrEqual(2);
  });

  // Guards against answers that are lost, or a limit that is made up, because the field is malformed.
  it.each([
    [['none'], Infinity],
    [['-3'], Infinity],
    [[''], Infinity],
    [['NaN', 'x'], Infinity],
    [['1e9'], Infinity],
    [['2', '2'], 2],
    [['x', '2'], 2],
  ])('delivers answers with the limits %j', async (values, limit) => {
    limits = values;
    const first = await platform.call('GET', '/look/x', { id: 'first' });
    expect([first.status, first.body]).toEqual([200, 'answer to first']);
    const replies = await callFor(400);
    const served = replies.filter(({ status }) => status === 200).length;
    if (limit === Infinity) expect(served).toBe(replies.length);
    else expect(served).toBeLessThanOrEqual(limit + 1);
    const lines = platform.events.filter(({ number }) => number === UNREADABLE_LIMIT_EVENT);
    expect(lines.length).toBeLessThanOrEqual(1);
  });
});
