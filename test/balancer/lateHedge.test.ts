import { TestPlatform } from '../support/testPlatform';

const ROUTE = { prefix: '/read/', service: 'reads', isIdempotent: true, timeLimitMs: 1000 };

describe('a host that is held up while a call runs at a silent server', () => {
  // Guards against a call that waits for a silent server until its time limit, although another one
  // would answer, because the last moment for an answer within the objective of 200 ms has passed.
  it('asks a second server as soon as it runs again', async () => {
    const platform = new TestPlatform();
    platform.configure([ROUTE]);
    const silent = await platform.addServer('reads', { id: 'i-silent', workMs: 5 });
    try {
      await platform.start();
      // The next call prefers the server to which there is a connection.
      expect((await platform.call('GET', '/read/x')).status).toBe(200);
      silent.mode = 'silent';
      await platform.addServer('reads', { id: 'i-good', workMs: 5 });
      await platform.sleep(300);
      const reply = platform.call('GET', '/read/x', { id: 'c-2' });
      await platform.sleep(60);
      const heldUntil = performance.now() + 160;
      while (performance.now() < heldUntil);
      expect([(await reply).status, (await reply).body]).toEqual([200, 'answer of i-good to c-2']);
      expect(silent.requestCount).toBe(2);
    } finally {
      await platform.stop();
    }
  });
});
