import { type ChildProcess, spawn } from 'node:child_process';
import { copyFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { BalancerProcess } from '../support/balancerProcess';
import { TestPlatform } from '../support/testPlatform';

const LAUNCHER = join(__dirname, '..', '..', 'scripts', 'platformLauncher.js');
// Loads for half a second without returning to the event loop, as a large bundle does.
const SLOW_BUNDLE = `
require('node:fs').writeSync(1, 'loading');
const end = Date.now() + 500;
while (Date.now() < end);
process.on('SIGTERM', () => process.exit(7));
setTimeout(() => process.exit(0), 500);
`;

describe('signals in series', () => {
  // Guards against a second signal during a planned stop that ends the process by its default action
  // and cuts off the calls that are running.
  it.each(['SIGTERM', 'SIGINT', 'SIGHUP'] as const)(
    'do not end a stop that completes calls: %s',
    async (signal) => {
      const platform = new TestPlatform();
      const balancer = new BalancerProcess(platform);
      try {
        platform.configure([
          { prefix: '/book/', service: 'books', isIdempotent: false, timeLimitMs: 2000 },
        ]);
        await platform.addServer('books', { id: 'i-book', workMs: 900 });
        await balancer.prepare();
        balancer.writeSettings();
        const exited = balancer.launch();
        await balancer.untilReady();
        await platform.sleep(300);
        const running = platform.call('POST', '/book/x', { body: 'seat', timeLeft: 2000 });
        await platform.sleep(100);
        balancer.child!.kill('SIGTERM');
        for (const delay of [50, 200, 400]) setTimeout(() => balancer.child!.kill(signal), delay);
        expect((await running).status).toBe(200);
        expect(await exited).toBe(0);
      } finally {
        balancer.close();
        await platform.stop();
      }
    },
    20_000,
  );

  // Guards against a process that ends because its settings change, or without its exit code, while
  // it is still loading.
  it.each([
    ['SIGHUP', 0],
    ['SIGTERM', 7],
  ] as const)('reach the daemon when they arrive while it loads: %s', async (signal, exitCode) => {
    const folder = mkdtempSync(join(tmpdir(), 'launcher-'));
    copyFileSync(LAUNCHER, join(folder, 'main.js'));
    writeFileSync(join(folder, 'balancer.js'), SLOW_BUNDLE);
    const child: ChildProcess = spawn(process.execPath, [join(folder, 'main.js')]);
    const exited = new Promise((resolve) => {
      child.once('exit', (code, endSignal) => resolve(code ?? endSignal));
    });
    child.stdout!.once('data', () => child.kill(signal));
    expect(await exited).toBe(exitCode);
    rmSync(folder, { recursive: true });
  });
});
