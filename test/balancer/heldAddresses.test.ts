import { createSocket } from 'node:dgram';
import { createServer } from 'node:http';

import { request } from 'undici';

import { freePort } from '../../standins';
import { BalancerProcess } from '../support/balancerProcess';
import { TestPlatform } from '../support/testPlatform';

// Longer than a stop that completes its calls takes, beside which the host starts.
const HELD_MS = 6000;
const HOLDER_STATUS = 418;
// What the readiness address answers while another process holds the address of a setting.
const READINESS_WHILE_HELD = {
  'caller-address': 503,
  'exchange-port': 503,
  'control-address': 200,
  'metrics-port': 200,
  'readiness-address': HOLDER_STATUS,
} as const;
const SETTINGS = Object.keys(READINESS_WHILE_HELD) as (keyof typeof READINESS_WHILE_HELD)[];

/** Holds a TCP or UDP port until the returned function is called, at least once. */
async function holdPort(port: number, isDatagram: boolean): Promise<() => void> {
  const holder = isDatagram
    ? createSocket('udp4')
    : createServer((_request, response) => response.writeHead(HOLDER_STATUS).end());
  await new Promise<void>((resolve) => {
    if ('bind' in holder) holder.bind(port, '127.0.0.1', resolve);
    else holder.listen(port, '127.0.0.1', resolve);
  });
  let close = () => {
    holder.close();
    close = () => {};
  };
  return () => close();
}

/** A host that starts while another process holds one of its addresses. */
async function startBlocked(setting: (typeof SETTINGS)[number]) {
  const platform = new TestPlatform();
  const balancer = new BalancerProcess(platform);
  platform.configure([{ prefix: '/read/', service: 'reads', isIdempotent: true }]);
  await balancer.prepare();
  balancer.settings['metrics-port'] = String(await freePort());
  const port = Number(balancer.settings[setting]!.split(':').at(-1));
  const release = await holdPort(port, setting === 'exchange-port');
  balancer.writeSettings();
  return { setting, platform, balancer, release, exited: balancer.launch() };
}

type BlockedHost = Awaited<ReturnType<typeof startBlocked>>;

async function stateOf({ setting, platform, balancer }: BlockedHost) {
  const readiness = await platform.readiness().catch(() => 0);
  const waits = balancer.logged(2316).map(({ part }) => part);
  return { setting, readiness, waits, opened: balancer.logged(2317).length };
}

describe('the start of a process whose addresses are taken', () => {
  let hosts: BlockedHost[] = [];

  beforeEach(async () => {
    hosts = await Promise.all(SETTINGS.map(startBlocked));
  });

  afterEach(async () => {
    for (const host of hosts) {
      host.release();
      host.balancer.close();
    }
    await Promise.all(hosts.map(({ platform }) => platform.stop()));
  });

  // Guards against a process that exits because another process holds an address, that warns of leaked
  // listeners while it waits, or that receives calls which it cannot serve.
  it('waits for each address until it is free', async () => {
    await hosts[0]!.platform.sleep(HELD_MS);
    expect(await Promise.all(hosts.map(stateOf))).toEqual(
      SETTINGS.map((setting) => ({
        ...{ setting, readiness: READINESS_WHILE_HELD[setting], waits: [setting], opened: 0 },
      })),
    );
    const control = `http://${hosts[0]!.balancer.settings['control-address']}`;
    const status = await request(`${control}/status`);
    expect(await status.body.json()).toMatchObject({
      isReady: false,
      waitingFor: ['caller-address'],
    });
    const metrics = await request(`${control}/metrics`);
    expect(await metrics.body.text()).toContain('balancer_addresses_awaited 1');
    for (const host of hosts) host.release();
    await Promise.all(hosts.map(({ balancer }) => balancer.untilReady()));
    const isOpen = ({ balancer }: BlockedHost) => balancer.logged(2317).length === 1;
    await hosts[0]!.platform.until(() => hosts.every(isOpen));
    for (const { balancer } of hosts) {
      expect(balancer.output).not.toContain('Warning');
      balancer.child!.kill('SIGTERM');
    }
    expect(await Promise.all(hosts.map(({ exited }) => exited))).toEqual(SETTINGS.map(() => 0));
  }, 40_000);

  // Guards against a stop that an address keeps from coming.
  it('stops while it waits', async () => {
    const isWaiting = ({ balancer }: BlockedHost) => balancer.logged(2316).length === 1;
    await hosts[0]!.platform.until(() => hosts.every(isWaiting));
    const { clock } = hosts[0]!.platform;
    const stoppedAt = clock.now();
    for (const { balancer } of hosts) balancer.child!.kill('SIGTERM');
    const times = hosts.map(async ({ setting, exited }) => {
      const code = await exited;
      return [setting, code, clock.now() - stoppedAt < 1000];
    });
    // The others may have calls to complete.
    const isClosedToCalls = (setting: string) => READINESS_WHILE_HELD[setting as never] === 503;
    expect(await Promise.all(times)).toEqual(
      SETTINGS.map((setting) => [setting, 0, isClosedToCalls(setting)]),
    );
  }, 20_000);

  // Guards against a host that waits for an address which the platform has corrected meanwhile.
  it('opens another address that the settings name meanwhile', async () => {
    for (const { setting, balancer, platform } of hosts.slice(0, 2)) {
      await platform.until(() => balancer.logged(2316).length === 1);
      const port = String(await freePort());
      balancer.settings[setting] = balancer.settings[setting]!.replace(/\d+$/, port);
      balancer.writeSettings();
      await balancer.untilReady();
    }
  }, 20_000);
});
