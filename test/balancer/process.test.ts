import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { freePort } from '../../standins';
import { TestPlatform } from '../support/testPlatform';

const MAIN = join(__dirname, '..', '..', 'dist', 'platform', 'main.js');

describe('the balancer process', () => {
  let platform: TestPlatform;

  let folder: string;

  let child: ChildProcess | null = null;

  let output = '';

  let settings: Record<string, string> = {};

  beforeEach(() => {
    platform = new TestPlatform();
    folder = mkdtempSync(join(tmpdir(), 'balancer-'));
    output = '';
  });

  afterEach(async () => {
    child?.kill('SIGKILL');
    await platform.stop();
    rmSync(folder, { recursive: true });
  });

  function writeSettings(): void {
    const lines = Object.entries(settings).map(([name, value]) => `${name}=${value}`);
    writeFileSync(join(folder, 'settings'), `${lines.join('\n')}\n`);
  }

  function launch(): Promise<number | null> {
    child = spawn(process.execPath, [MAIN], {
      env: { PATH: process.env.PATH, LIMPETKNOT_NODE_FILE: join(folder, 'settings') },
    });
    const appendOutput = (chunk: Buffer) => {
      output += chunk.toString('utf8');
    };
    child.stdout!.on('data', appendOutput);
    child.stderr!.on('data', appendOutput);
    return new Promise((resolve) => {
      child!.on('exit', (code) => resolve(code));
    });
  }

  async function prepare(): Promise<void> {
    platform.configure([
      { prefix: '/book/', service: 'books', isIdempotent: false, timeLimitMs: 3000 },
    ]);
    await platform.addServer('books', { id: 'i-book', workMs: 800 });
    const source = await platform.store.listen();
    platform.callerPort = await freePort();
    platform.readinessPort = await freePort();
    settings = {
      'host-id': 'host-1',
      zone: 'a',
      zones: 'a',
      'caller-address': `127.0.0.1:${platform.callerPort}`,
      'readiness-address': `127.0.0.1:${platform.readinessPort}`,
      'control-address': `127.0.0.1:${await freePort()}`,
      'exchange-port': String(await freePort()),
      'stop-grace-s': '4',
      'settings-check-ms': '100',
      source,
    };
  }

  async function untilReady(): Promise<void> {
    for (let attempt = 0; attempt < 300; attempt += 1) {
      const status = await platform.readiness().catch(() => 0);
      if (status === 200) return;
      await platform.sleep(20);
    }
    throw new Error(`not ready: ${output}`);
  }

  // Guards against a stop that aborts calls, that refuses callers before the platform's balancer
  // has stopped sending them, or that exits with a code other than 0.
  it('finishes running calls after SIGTERM and exits with 0', async () => {
    await prepare();
    writeSettings();
    const exited = launch();
    await untilReady();
    await platform.sleep(300);
    const running = platform.call('POST', '/book/x', { body: 'seat', timeLeft: 3000 });
    await platform.sleep(100);
    child!.kill('SIGTERM');
    await platform.sleep(100);
    expect(await platform.readiness()).toBe(503);
    const late = await platform.call('POST', '/book/y', { body: 'seat', timeLeft: 3000 });
    expect(late.status).toBe(200);
    expect(late.headers.connection).toBe('close');
    expect((await running).status).toBe(200);
    expect(await exited).toBe(0);
    expect(output).toContain('"event":2304');
  });

  // Guards against ignoring a changed settings file, and against exiting because of an invalid one.
  it('reloads its settings file, with and without a signal', async () => {
    await prepare();
    writeSettings();
    void launch();
    await untilReady();
    settings.seeds = '127.0.0.1:9';
    writeSettings();
    await platform.until(() => output.includes('"event":2305'));
    settings.seeds = 'nonsense';
    writeSettings();
    child!.kill('SIGHUP');
    await platform.until(() => output.includes('"event":2306'));
    expect(await platform.readiness()).toBe(200);
  });

  // Guards against a start with incomplete settings, and against reporting only the first mistake.
  it('reports all mistakes in its settings and exits with 2', async () => {
    settings = { 'host-id': 'host-1', zone: '', unknown: 'ignored', 'stop-grace-s': 'soon' };
    writeSettings();
    expect(await launch()).toBe(2);
    for (const name of ['zone', 'caller-address', 'source', 'stop-grace-s']) {
      expect(output).toContain(`--${name}`);
    }
    expect(output).not.toContain('unknown');
  });

  // Guards against blocking the process when nobody reads its log.
  it('serves calls while its output is not read', async () => {
    await prepare();
    writeSettings();
    void launch();
    await untilReady();
    child!.stdout!.pause();
    child!.stderr!.pause();
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
