import { BalancerProcess } from '../support/balancerProcess';
import { RawCaller } from '../support/rawCaller';
import { TestPlatform } from '../support/testPlatform';

const LOOKUP_HEAD = 'HTTP/1.1\r\nHost: test.example\r\nDeadline-Ms: 6000\r\n';

describe('a planned stop under load', () => {
  let platform: TestPlatform;

  let balancer: BalancerProcess;

  let exited: Promise<number | null>;

  beforeEach(async () => {
    platform = new TestPlatform();
    balancer = new BalancerProcess(platform);
    platform.configure([
      { prefix: '/book/', service: 'books', isIdempotent: false, timeLimitMs: 6000 },
      { prefix: '/read/', service: 'reads', isIdempotent: true, timeLimitMs: 6000 },
    ]);
    await platform.addServer('books', { id: 'i-book', workMs: 300, slots: 200 });
    await platform.addServer('reads', { id: 'i-read', workMs: 700, slots: 200 });
    await balancer.prepare();
    balancer.settings['stop-grace-s'] = '8';
    balancer.writeSettings();
    exited = balancer.launch();
    await balancer.untilReady();
    platform.clock.leaveOut(() => balancer.heldUpMs());
    await platform.sleep(300);
  });

  afterEach(async () => {
    balancer.close();
    await platform.stop();
  });

  // Guards against cutting off calls whose bodies are still being read when the stop begins.
  it('answers the calls that it has begun to read', async () => {
    const callers = Array.from({ length: 60 }, () => new RawCaller(platform.callerPort));
    callers.forEach((caller, index) =>
      caller.write(
        `POST /book/${index} ${LOOKUP_HEAD}Request-Id: b-${index}\r\nContent-Length: 4\r\n\r\n1`,
      ),
    );
    await platform.sleep(200);
    balancer.child!.kill('SIGTERM');
    callers.forEach((caller, index) => {
      setTimeout(() => caller.write('23'), 100 + index * 40);
      setTimeout(() => caller.write('4'), 500 + index * 70);
    });
    expect(await exited).toBe(0);
    await Promise.all(callers.map((caller) => caller.closed));
    expect(callers.map((caller) => caller.statuses().join())).toEqual(callers.map(() => '200'));
    expect(platform.servers.get('i-book')!.runs).toHaveLength(60);
  }, 30_000);

  // Guards against an answer that closes the connection before the answers to the calls behind it.
  it('answers all calls that were sent behind each other', async () => {
    const callers = Array.from({ length: 20 }, () => new RawCaller(platform.callerPort));
    callers.forEach((caller, index) => {
      const lookups = [0, 1, 2].map(
        (part) => `GET /read/${part} ${LOOKUP_HEAD}Request-Id: p-${index}-${part}\r\n\r\n`,
      );
      caller.write(lookups.join(''));
    });
    // Calls that are not read when the stop begins are left to their callers.
    await platform.until(() => platform.servers.get('i-read')!.runs.length === 60);
    balancer.child!.kill('SIGTERM');
    expect(await exited).toBe(0);
    expect(callers.map((caller) => caller.statuses().join())).toEqual(
      callers.map(() => '200,200,200'),
    );
  }, 30_000);

  // Guards against cutting off answers that were made but have not reached their callers yet.
  it('delivers the rest of answers to slow callers', async () => {
    const body = 'x'.repeat(200_000);
    platform.servers.get('i-read')!.answerBody = body;
    const callers = Array.from({ length: 10 }, () => new RawCaller(platform.callerPort));
    callers.forEach((caller, index) => {
      caller.write(`GET /read/x ${LOOKUP_HEAD}Request-Id: s-${index}\r\n\r\n`);
      caller.pause();
    });
    await platform.until(() => platform.servers.get('i-read')!.runs.length === 10);
    balancer.child!.kill('SIGTERM');
    for (const caller of callers) setTimeout(() => caller.resume(), 4500);
    expect(await exited).toBe(0);
    await Promise.all(callers.map((caller) => caller.closed));
    expect(callers.map((caller) => caller.text.endsWith(body))).toEqual(callers.map(() => true));
  }, 30_000);
});
