import { BalancerProcess } from '../support/balancerProcess';
import { TestPlatform } from '../support/testPlatform';

// Longer than the platform takes to write a file.
const WAIT_MS = 2500;

async function prepareHost() {
  const platform = new TestPlatform();
  platform.configure([{ prefix: '/read/', service: 'reads', isIdempotent: true }]);
  const balancer = new BalancerProcess(platform);
  await balancer.prepare();
  // The last setting, of which a part is a valid address too.
  const { 'caller-address': address, ...others } = balancer.settings;
  balancer.settings = { ...others, 'caller-address': address! };
  return { platform, balancer };
}

/** Settings files that are not usable yet, each made from the complete text. */
const UNUSABLE: Readonly<Record<string, (complete: string) => string | null>> = {
  absent: () => null,
  incomplete: () => 'host-id=host-1\n',
  invalid: (complete) => complete.replace(/source=.*/, 'source=10.0.0.1:99999'),
  'cut in its last value': (complete) => complete.replace(/.\n# end of settings\n$/, ''),
  'cut at the end of a line': (complete) => complete.replace('# end of settings\n', ''),
};

describe('settings that are not complete', () => {
  let hosts: Awaited<ReturnType<typeof prepareHost>>[] = [];

  beforeEach(async () => {
    hosts = await Promise.all(Object.keys(UNUSABLE).map(prepareHost));
  });

  afterEach(async () => {
    for (const { balancer } of hosts) balancer.close();
    await Promise.all(hosts.map(({ platform }) => platform.stop()));
  });

  // Guards against a process that exits, or takes a part of a file for the whole, because the platform
  // has not written its settings yet.
  it('are awaited at the start until they are complete', async () => {
    const [first] = hosts;
    const exited = Object.values(UNUSABLE).map((cut, index) => {
      const { balancer } = hosts[index]!;
      const text = cut(balancer.markedSettings());
      if (text !== null) balancer.writeSettings(text);
      return balancer.launch();
    });
    // A process on a busy machine takes seconds until it reads its settings; it must wait after that.
    await first!.platform.until(() =>
      hosts.every(
        ({ balancer }) => balancer.child!.exitCode !== null || balancer.logged(2318).length > 0,
      ),
    );
    await first!.platform.sleep(WAIT_MS);
    const isWaiting = hosts.map(({ balancer }) => [
      balancer.child!.exitCode,
      balancer.logged(2318).length,
      balancer.logged(2319).length,
    ]);
    expect(isWaiting).toEqual(hosts.map(() => [null, 1, 0]));
    for (const { balancer } of hosts) balancer.writeSettings(balancer.markedSettings());
    await Promise.all(hosts.map(({ balancer }) => balancer.untilReady()));
    for (const { balancer } of hosts) {
      expect(balancer.logged(2319)).toHaveLength(1);
      balancer.child!.kill('SIGTERM');
    }
    expect(await Promise.all(exited)).toEqual(hosts.map(() => 0));
  }, 30_000);

  // Guards against settings that are read while the platform writes them, over and over.
  it('are never used, at the start and on changes', async () => {
    const { platform, balancer } = hosts[0]!;
    balancer.settings.seeds = '10.0.0.1:8649,10.0.0.2:8649';
    const complete = balancer.markedSettings();
    const rewrite = async () => {
      for (let length = complete.length - 80; length < complete.length - 1; length += 1) {
        balancer.writeSettings(complete.slice(0, length));
        balancer.child?.kill('SIGHUP');
        await platform.sleep(5);
      }
    };
    balancer.writeSettings(complete.slice(0, -30));
    void balancer.launch();
    await platform.until(() => balancer.logged(2318).length === 1);
    await rewrite();
    balancer.writeSettings(complete);
    await balancer.untilReady();
    await rewrite();
    balancer.writeSettings(complete);
    await platform.until(() => balancer.logged(2305).length > 0);
    const seeds = [...balancer.logged(2300), ...balancer.logged(2305)].map((line) => line.seeds);
    expect(new Set(seeds.map(String))).toEqual(new Set([balancer.settings.seeds]));
    expect(balancer.logged(2318)).toHaveLength(1);
  }, 30_000);
});
