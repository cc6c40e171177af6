import { request } from 'node:http';

import { BalancerProcess } from '../support/balancerProcess';
import { TestPlatform } from '../support/testPlatform';

describe('the balancer process', () => {
  let platform: TestPlatform;

  let balancer: BalancerProcess;

  beforeEach(() => {
    platform = new TestPlatform();
    balancer = new BalancerProcess(platform);
  });

  afterEach(async () => {
    balancer.close();
    await platform.stop();
  });

  async function prepare(): Promise<void> {
    platform.configure([
      { prefix: '/book/', service: 'books', isIdempotent: false, timeLimitMs: 3000 },
    ]);
    await platform.addServer('books', { id: 'i-book', workMs: 800 });
    await balancer.prepare();
  }

  // Guards against a stop that aborts calls, that refuses callers before the platform's balancer
  // has stopped sending them, or that exits with a code other than 0.
  it('finishes running calls after SIGTERM and exits with 0', async () => {
    await prepare();
    balancer.writeSettings();
    const exited = balancer.launch();
    await balancer.untilReady();
    await platform.sleep(300);
    const running = platform.call('POST', '/book/x', { body: 'seat', timeLeft: 3000 });
    await platform.sleep(100);
    balancer.child!.kill('SIGTERM');
    await platform.sleep(100);
    expect(await platform.readiness()).toBe(503);
    const late = await platform.call('POST', '/book/y', { body: 'seat', timeLeft: 3000 });
    expect(late.status).toBe(200);
    expect(late.headers.connection).toBe('close');
    expect((await running).status).toBe(200);
    expect(await exited).toBe(0);
    expect(balancer.output).toContain('"event":2304');
  });

  // Guards against ignoring a changed settings file, and against exiting because of an invalid one.
  it('reloads its settings file, with and without a signal', async () => {
    await prepare();
    balancer.writeSettings();
    void balancer.launch();
    await balancer.untilReady();
    balancer.settings.seeds = '127.0.0.1:9';
    balancer.writeSettings();
    await platform.until(() => balancer.output.includes('"event":2305'));
    balancer.settings.seeds = 'nonsense';
    balancer.writeSettings();
    balancer.child!.kill('SIGHUP');
    await platform.until(() => balancer.output.includes('"event":2306'));
    expect(await platform.readiness()).toBe(200);
  });

  // Guards against a start with incomplete settings, against reporting only the first mistake, and
  // against an exit because of settings that the platform may still replace.
  it.each([
    ['waits while they are in a file', true],
    ['exits with 2 without a file', false],
  ])('reports all mistakes in its settings, and %s', async (_name, hasFile) => {
    balancer.settings = {
      'host-id': 'host-1',
      zone: '',
      unknown: 'ignored',
      'stop-grace-s': 'soon',
    };
    balancer.writeSettings();
    if (!hasFile) {
      balancer.environment = { LIMPETKNOT_ZONE: '', LIMPETKNOT_STOP_GRACE_S: 'soon' };
      expect(await balancer.launch()).toBe(2);
      expect(balancer.lastRecord()).toMatchObject({ event: 2320, code: 2 });
    } else {
      void balancer.launch();
      await platform.until(() => balancer.logged(2318).length === 1);
      await platform.sleep(300);
      expect(balancer.child!.exitCode).toBe(null);
    }
    for (const name of ['zone', 'caller-address', 'source', 'stop-grace-s']) {
      expect(balancer.output).toContain(`--${name}`);
    }
    expect(balancer.output).not.toContain('unknown');
    expect(balancer.output).not.toContain('"event":2300');
  });

  // Guards against blocking the process when nobody reads its log.
  it('serves calls while its output is not read', async () => {
    await prepare();
    balancer.writeSettings();
    void balancer.launch();
    await balancer.untilReady();
    balancer.child!.stdout!.pause();
    balancer.child!.stderr!.pause();
    const status = () =>
      new Promise<number>((resolve, reject) => {
        request(
          { host: '127.0.0.1', port: platform.callerPort, path: '/none', agent: false },
          (r) => {
            r.resume();
            resolve(r.statusCode!);
          },
        )
          .on('error', reject)
          .end();
      });
    for (let count = 0; count < 600; count += 1) expect(await status()).toBe(404);
  });
});
