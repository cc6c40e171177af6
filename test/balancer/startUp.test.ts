import { createSocket } from 'node:dgram';
import { createServer } from 'node:http';

import { BalancerProcess } from '../support/balancerProcess';
import { TestPlatform } from '../support/testPlatform';

describe('the start of a process', () => {
  let platform: TestPlatform;

  let balancer: BalancerProcess;

  /** Releases the port that a test holds. */
  let release = () => {};

  beforeEach(async () => {
    platform = new TestPlatform();
    balancer = new BalancerProcess(platform);
    platform.configure([{ prefix: '/read/', service: 'reads', isIdempotent: true }]);
    await platform.addServer('reads', { id: 'i-read' });
    await balancer.prepare();
  });

  afterEach(async () => {
    release();
    release = () => {};
    balancer.close();
    await platform.stop();
  });

  // Guards against a process that exits because its previous run, or another process, still holds one
  // of its ports for a moment.
  it('waits for the port of callers', async () => {
    const holder = createServer();
    await new Promise<void>((resolve) => {
      holder.listen(platform.callerPort, '127.0.0.1', resolve);
    });
    release = () => holder.close();
    balancer.writeSettings();
    void balancer.launch();
    await platform.until(() => balancer.output.includes('"event":2316'));
    release();
    release = () => {};
    await balancer.untilReady();
  }, 20_000);

  it('waits for the port of messages between hosts', async () => {
    const holder = createSocket('udp4');
    await new Promise<void>((resolve) => {
      holder.bind(Number(balancer.settings['exchange-port']), '127.0.0.1', resolve);
    });
    release = () => holder.close();
    balancer.writeSettings();
    void balancer.launch();
    await platform.until(() => balancer.output.includes('"event":2316'));
    release();
    release = () => {};
    await balancer.untilReady();
  }, 20_000);

  // Guards against a process that exits because the platform is still writing its settings file.
  it('waits for settings that are incomplete', async () => {
    const complete = balancer.settings;
    balancer.settings = { 'host-id': 'host-1' };
    balancer.writeSettings();
    const exited = balancer.launch();
    await platform.sleep(400);
    balancer.settings = complete;
    balancer.writeSettings();
    await balancer.untilReady();
    balancer.child!.kill('SIGTERM');
    expect(await exited).toBe(0);
  }, 20_000);
});
