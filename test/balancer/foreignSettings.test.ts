import { execFileSync } from 'node:child_process';
import { mkdirSync, rmSync, truncateSync } from 'node:fs';

import { BalancerProcess, DEPLOYED_FLAGS, MAIN } from '../support/balancerProcess';
import { TestPlatform } from '../support/testPlatform';

// More than the process may use.
const HUGE_BYTES = 400 * 1024 * 1024;

const FOREIGN: Readonly<Record<string, (balancer: BalancerProcess) => void>> = {
  'a huge file': (balancer) => {
    balancer.writeSettings();
    truncateSync(balancer.settingsFile, HUGE_BYTES);
  },
  'a named pipe': ({ settingsFile }) => execFileSync('mkfifo', [settingsFile]),
  'a folder': ({ settingsFile }) => mkdirSync(settingsFile),
};

// Guards against a process that runs out of memory, or waits for a writer without heeding signals, because
// its settings file is something else.
describe('in place of the settings file', () => {
  it.each(Object.keys(FOREIGN))(
    '%s is awaited, at the start and later',
    async (kind) => {
      const platform = new TestPlatform();
      const balancer = new BalancerProcess(platform);
      balancer.command = [...DEPLOYED_FLAGS, MAIN];
      platform.configure([{ prefix: '/read/', service: 'reads', isIdempotent: true }]);
      await balancer.prepare();
      const place = () => {
        rmSync(balancer.settingsFile, { force: true });
        FOREIGN[kind]!(balancer);
      };
      place();
      const exited = balancer.launch();
      try {
        await platform.until(() => balancer.logged(2318).length === 1);
        rmSync(balancer.settingsFile, { recursive: true });
        balancer.writeSettings(balancer.markedSettings());
        await balancer.untilReady();
        place();
        await platform.until(() => balancer.logged(2306).length > 0);
        expect(await platform.readiness()).toBe(200);
        balancer.child!.kill('SIGTERM');
        expect(await exited).toBe(0);
      } finally {
        balancer.close();
        await platform.stop();
      }
    },
    30_000,
  );
});
