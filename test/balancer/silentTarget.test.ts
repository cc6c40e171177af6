import { answerText, ScriptedServer } from '../support/scriptedServer';
import { TestPlatform } from '../support/testPlatform';

const SILENCE_MS = 5000;

describe('a target that is silent for a while', () => {
  // Guards against giving up or repeating work that runs at a machine which is only silent: it answers
  // neither the call nor health checks, and its entry expires and comes back.
  it('keeps its running call, which is answered once', async () => {
    const platform = new TestPlatform();
    platform.configure([
      { prefix: '/book/', service: 'books', isIdempotent: false, timeLimitMs: 9000 },
    ]);
    const silent = new ScriptedServer('i-silent');
    const other = new ScriptedServer('i-other');
    const address = await silent.listen();
    platform.register('books', { id: 'i-silent' }, address);
    await platform.start();
    try {
      const held: (() => void)[] = [];
      const { onProbe } = silent;
      silent.onCall = ({ socket, id }) => {
        held.push(() => socket.write(answerText(id, `answer to ${id}`)));
      };
      silent.onProbe = (request) => held.push(() => onProbe(request));
      const running = platform.call('POST', '/book/x', { id: 'b-1', body: 'seat', timeLeft: 9000 });
      await platform.until(() => silent.received.length === 1);
      platform.register('books', { id: 'i-other' }, await other.listen());
      await platform.sleep(SILENCE_MS / 2);
      platform.store.remove('servers/i-silent');
      await platform.sleep(SILENCE_MS / 2);
      platform.register('books', { id: 'i-silent' }, address);
      for (const release of held) release();
      const reply = await running;
      expect([reply.status, reply.body]).toEqual([200, 'answer to b-1']);
      expect([silent.received, other.received]).toEqual([['b-1'], []]);
    } finally {
      await platform.stop();
      silent.close();
      other.close();
    }
  }, 30_000);
});
