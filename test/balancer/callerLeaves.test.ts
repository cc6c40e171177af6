import { RawCaller } from '../support/rawCaller';
import { ScriptedServer } from '../support/scriptedServer';
import { TestPlatform } from '../support/testPlatform';

// Time after which no target may still work for a caller that has left.
const MAX_WORK_MS = 500;
const CALLS = 3;

describe('a caller that leaves', () => {
  // Guards against targets that go on working for calls that were sent behind the first one.
  it('ends all calls on its connection', async () => {
    const platform = new TestPlatform();
    const server = new ScriptedServer('i-read');
    let cancelled = 0;
    try {
      platform.configure([
        { prefix: '/read/', service: 'reads', isIdempotent: true, timeLimitMs: 3000 },
      ]);
      platform.register('reads', { id: 'i-read' }, await server.listen());
      await platform.start();
      server.onCall = ({ socket }) => {
        socket.once('close', () => {
          cancelled += 1;
        });
      };
      const caller = new RawCaller(platform.callerPort);
      for (let call = 0; call < CALLS; call += 1)
        caller.write(
          `GET /read/${call} HTTP/1.1\r\nHost: test.example\r\nRequest-Id: c-${call}\r\nDeadline-Ms: 3000\r\n\r\n`,
        );
      await platform.until(() => server.received.length === CALLS);
      caller.leave();
      await platform.sleep(MAX_WORK_MS);
      expect(cancelled).toBe(CALLS);
    } finally {
      await platform.stop();
      server.close();
    }
  });
});
