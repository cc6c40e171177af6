import { RawCaller } from '../support/rawCaller';
import { TestPlatform } from '../support/testPlatform';

function request(id: string): string {
  return `GET /read/x HTTP/1.1\r\nHost: test.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 2000\r\n\r\n`;
}

// Guards against a last answer that its caller has not read yet, and loses with a reset since it sends more
// on a connection that the host has closed together with its listener.
test('the listener closes without the connections whose last answers are being read', async () => {
  const platform = new TestPlatform();
  platform.configure([{ prefix: '/read/', service: 'reads', isIdempotent: true }]);
  await platform.addServer('reads', { id: 'i-1', workMs: 50 });
  await platform.start();
  const caller = new RawCaller(platform.callerPort);
  const ended = () => platform.events.some(({ number }) => number === 2203);
  try {
    caller.write(request('call-1'));
    await platform.sleep(20);
    platform.balancer!.beginStop(platform.clock.now() + 2000);
    caller.pause();
    await platform.until(ended);
    const closed = platform.balancer!.calls.closeListener();
    await platform.sleep(50);
    for (const id of ['call-2', 'call-3']) {
      caller.write(request(id));
      await platform.sleep(20);
    }
    caller.resume();
    await Promise.all([caller.closed, closed]);
    expect(caller.statuses()).toEqual(['200']);
  } finally {
    caller.leave();
    await platform.stop();
  }
});
