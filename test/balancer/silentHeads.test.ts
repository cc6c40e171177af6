import { SAMPLE_ANSWERS } from '../support/cutAnswers';
import { RawCaller } from '../support/rawCaller';
import { answerText, ScriptedServer } from '../support/scriptedServer';
import { TestPlatform } from '../support/testPlatform';

const TIME_LIMIT_MS = 400;
const SAMPLE = SAMPLE_ANSWERS['GET with a length']!;

function requestText(id: string): string {
  const lines = ['Host: test.example', `Request-Id: ${id}`, 'Deadline-Ms: 2000'];
  return ['GET /read/x HTTP/1.1', ...lines, '', ''].join('\r\n');
}

describe('an answer that stops', () => {
  let platform: TestPlatform;

  let server: ScriptedServer;

  let second: ScriptedServer;

  beforeEach(async () => {
    platform = new TestPlatform();
    platform.configure([
      { prefix: '/read/', service: 'reads', isIdempotent: true, timeLimitMs: TIME_LIMIT_MS },
      { prefix: '/book/', service: 'books', isIdempotent: false, timeLimitMs: TIME_LIMIT_MS },
    ]);
    server = new ScriptedServer('i-bad');
    second = new ScriptedServer('i-good');
    const address = await server.listen();
    platform.register('books', { id: 'i-bad' }, address);
    platform.register('reads', { id: 'i-good' }, await second.listen());
    await platform.start();
  });

  afterEach(async () => {
    await platform.stop();
    server.close();
    second.close();
  });

  // Guards against a call that waits beyond its time limit, or that runs twice.
  it('ends at the time limit when its connection stays open', async () => {
    const text = SAMPLE.text('book');
    for (const length of [1, 16, 40, text.indexOf('\r\n\r\n') + 2, text.length - 1]) {
      const id = `book-${length}`;
      server.onCall = ({ socket }) => socket.write(SAMPLE.text(id).slice(0, length));
      const reply = await platform.call('POST', '/book/x', { id, body: 'b' });
      expect([length, reply.status]).toEqual([length, 504]);
      expect(reply.elapsedMs).toBeLessThan(TIME_LIMIT_MS + 200);
      expect(server.received.filter((received) => received === id)).toHaveLength(1);
    }
  });

  // Guards against answers out of their order behind one that broke off.
  it('leaves the answers before and behind it alone', async () => {
    second.onCall = ({ socket, id }) => {
      if (id === 'cut') socket.end(SAMPLE.text(id).slice(0, 50));
      else setTimeout(() => socket.write(answerText(id, `answer to ${id}`)), 20);
    };
    const caller = new RawCaller(platform.callerPort);
    caller.write(['first', 'cut', 'last'].map(requestText).join(''));
    await platform.until(() => caller.answers().length === 3);
    await platform.sleep(30);
    const [first, cut, last] = caller.answers();
    expect([first!.status, first!.body]).toEqual([200, 'answer to first']);
    expect([cut!.status, cut!.isWhole]).toEqual([502, true]);
    expect([last!.status, last!.body]).toEqual([200, 'answer to last']);
    caller.leave();
  });

  // Guards against half of an answer, framed as whole, for a caller that has ended its side.
  it('is whole or none for a caller that has ended its side', async () => {
    second.onCall = ({ socket, id }) => {
      socket.write(SAMPLE.text(id).slice(0, 90));
      setTimeout(() => socket.end(), 30);
    };
    const caller = new RawCaller(platform.callerPort);
    caller.write(requestText('half'));
    caller.end();
    await platform.until(() => caller.isClosed);
    const [answer] = caller.answers();
    expect(answer === undefined || !answer.isWhole || answer.status === 502).toBe(true);
  });

  // Guards against a lookup that fails, or waits for its time limit, while another server works.
  it('is replaced by the answer of another server', async () => {
    const third = new ScriptedServer('i-third');
    platform.register('reads', { id: 'i-third' }, await third.listen());
    await platform.sleep(400);
    third.onCall = ({ socket, id }) => socket.write(SAMPLE.text(id).slice(0, 50));
    // Calls at the same time use all three servers, whatever the seed.
    const ids = Array.from({ length: 12 }, (_, count) => `read-${count}`);
    const replies = await Promise.all(ids.map((id) => platform.call('GET', '/read/x', { id })));
    expect(replies.map(({ status, body }) => [status, body])).toEqual(
      ids.map((id) => [200, `answer to ${id}`]),
    );
    third.close();
    expect(third.received.length).toBeGreaterThan(0);
  });
});
