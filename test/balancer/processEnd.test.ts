import { once } from 'node:events';
import { copyFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { BalancerProcess } from '../support/balancerProcess';
import { TestPlatform } from '../support/testPlatform';

const EXITED = 2320;
const ROOT = join(__dirname, '..', '..');
const LAUNCHER = join(ROOT, 'scripts', 'platformLauncher.js');

/** A program that runs a balancer with a given adapter, and `after` once it has begun. */
function program(adapter: string, after = ''): string[] {
  const balancer = JSON.stringify(join(ROOT, 'dist', 'src', 'balancer'));
  const command = `{arguments: [], environment: {}, settingsFile: process.env.LIMPETKNOT_NODE_FILE}`;
  const run = `require(${balancer}).runBalancer(${command}, ${adapter})`;
  return ['-e', `${run}.then((code) => process.exit(code));${after}`];
}

const LOG_FILLED = 'log filled';
// Fills the pipe of the log, which nobody reads, and says so on standard error.
const FILL_LOG = `
setTimeout(() => {
  try { for (;;) require('fs').writeSync(1, '\\n'.repeat(65536)); } catch {}
  require('fs').writeSync(2, '${LOG_FILLED}\\n');
}, 300);`;

describe('the end of a process', () => {
  let platform: TestPlatform;

  let balancer: BalancerProcess;

  beforeEach(async () => {
    platform = new TestPlatform();
    balancer = new BalancerProcess(platform);
    await balancer.prepare();
  });

  afterEach(async () => {
    balancer.close();
    await platform.stop();
  });

  // Guards against an end that leaves no line, or one without reason and exit code.
  it.each([
    ['an error in the start', program('{openSource() { throw new Error("no") }}'), 1, 'no'],
    ['a library that exits', program('{}', 'process.exit(5);'), 5, 'no task'],
  ])('is the last line of the log: %s', async (_path, argumentList, code, reason) => {
    balancer.writeSettings();
    expect(await balancer.launch(argumentList)).toBe(code);
    expect(balancer.lastRecord()).toMatchObject({ event: EXITED, code });
    expect(balancer.lastRecord()!.reason).toContain(reason);
  });

  it('is the last line of the log: a stop', async () => {
    platform.configure([{ prefix: '/read/', service: 'reads', isIdempotent: true }]);
    balancer.settings['stop-grace-s'] = '1';
    balancer.writeSettings();
    const exited = balancer.launch();
    await balancer.untilReady();
    balancer.child!.kill('SIGTERM');
    expect(await exited).toBe(0);
    const end = { event: EXITED, code: 0, hostname: 'host-1', reason: 'stopped by SIGTERM' };
    expect(balancer.lastRecord()).toMatchObject(end);
  });

  // Guards against an end without a line while the settings are not readable.
  it('is the last line of the log: a stop while it waits for settings', async () => {
    const exited = balancer.launch();
    await platform.until(() => balancer.output.includes('"event":2318'));
    balancer.child!.kill('SIGTERM');
    expect(await exited).toBe(0);
    expect(balancer.lastRecord()).toMatchObject({ event: EXITED, code: 0 });
    expect(balancer.logged(2318)).toHaveLength(1);
  });

  // Guards against an end that waits for the reader of the log, or whose reason is lost with it.
  it('is written in time when the log is not read', async () => {
    const closed = balancer.launch(program('{}', FILL_LOG));
    balancer.child!.stdout!.pause();
    await platform.until(() => balancer.output.includes(LOG_FILLED));
    const stoppedAt = platform.clock.now();
    balancer.child!.kill('SIGTERM');
    expect(await once(balancer.child!, 'exit')).toEqual([0, null]);
    expect(platform.clock.now() - stoppedAt).toBeLessThan(1000);
    balancer.child!.stdout!.resume();
    await closed;
    // On standard error, or on standard output after what it held.
    expect(balancer.logged(EXITED)).toMatchObject([{ code: 0 }]);
  });

  // Guards against a process that ends because of what is thrown, or of a rejection.
  it('does not come with errors that nothing catches', async () => {
    const errors = `setTimeout(() => { throw null; }, 100);
      setTimeout(() => { throw Object.create(null); }, 150);
      setTimeout(() => Promise.reject(undefined), 200);`;
    const exited = balancer.launch(program('{}', errors));
    await platform.until(() => balancer.logged(2315).length === 3);
    balancer.child!.kill('SIGTERM');
    expect(await exited).toBe(0);
  });

  // Guards against a program that cannot be loaded and leaves no line of the log.
  it('is the last line of the log: a bundle that is cut short', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'launcher-'));
    copyFileSync(LAUNCHER, join(folder, 'main.js'));
    writeFileSync(join(folder, 'balancer.js'), 'function cut(');
    expect(await balancer.launch([join(folder, 'main.js')])).toBe(1);
    expect(balancer.lastRecord()).toMatchObject({ event: EXITED, code: 1 });
    rmSync(folder, { recursive: true });
  });
});
