import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { freePort } from '../../standins';
import { PlatformWorld } from '../support/platformWorld';

const MAIN = join(__dirname, '..', '..', 'dist', 'platform', 'main.js');

describe('the balancer process', () => {
  let world: PlatformWorld;

  let folder: string;

  let child: ChildProcess | null = null;

  let output = '';

  let settings: Record<string, string> = {};

  beforeEach(() => {
    world = new PlatformWorld();
    folder = mkdtempSync(join(tmpdir(), 'balancer-'));
    output = '';
  });

  afterEach(async () => {
    child?.kill('SIGKILL');
    await world.stop();
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
    const take = (chunk: Buffer) => {
      output += chunk.toString('utf8');
    };
    child.stdout!.on('data', take);
    child.stderr!.on('data', take);
    return new Promise((resolve) => {
      child!.on('exit', (code) => resolve(code));
    });
  }

  async function prepare(): Promise<void> {
    world.configure([
      { prefix: '/book/', service: 'books', isIdempotent: false, timeLimitMs: 3000 },
    ]);
    await world.addServer('books', { id: 'i-book', workMs: 800 });
    const source = await world.store.listen();
    world.callerPort = await freePort();
    world.readinessPort = await freePort();
    settings = {
      'host-id': 'host-1',
      zone: 'a',
      zones: 'a',
      'caller-address': `127.0.0.1:${world.callerPort}`,
      'readiness-address': `127.0.0.1:${world.readinessPort}`,
      'control-address': `127.0.0.1:${await freePort()}`,
      'exchange-port': String(await freePort()),
      'stop-grace-s': '4',
      'settings-check-ms': '100',
      source,
    };
  }

  async function untilReady(): Promise<void> {
    for (let turn = 0; turn < 300; turn += 1) {
      const status = await world.readiness().catch(() => 0);
      if (status === 200) return;
      await world.sleep(20);
    }
    throw new Error(`not ready: ${output}`);
  }

  // Guards against a stop that cuts calls, that refuses callers before the platform's balancer looks
  // elsewhere, or that does not end with 0.
  it('finishes running calls after SIGTERM and exits with 0', async () => {
    await prepare();
    writeSettings();
    const exited = launch();
    await untilReady();
    await world.sleep(300);
    const running = world.call('POST', '/book/x', { body: 'seat', timeLeft: 3000 });
    await world.sleep(100);
    child!.kill('SIGTERM');
    await world.sleep(100);
    expect(await world.readiness()).toBe(503);
    const late = await world.call('POST', '/book/y', { body: 'seat', timeLeft: 3000 });
    expect(late.status).toBe(200);
    expect(late.headers.connection).toBe('close');
    expect((await running).status).toBe(200);
    expect(await exited).toBe(0);
    expect(output).toContain('"event":2304');
  });

  // Guards against a changed settings file that takes no effect, and against one with mistakes that
  // ends the process.
  it('reads its settings file again, with and without a signal', async () => {
    await prepare();
    writeSettings();
    void launch();
    await untilReady();
    settings.seeds = '127.0.0.1:9';
    writeSettings();
    await world.until(() => output.includes('"event":2305'));
    settings.seeds = 'nonsense';
    writeSettings();
    child!.kill('SIGHUP');
    await world.until(() => output.includes('"event":2306'));
    expect(await world.readiness()).toBe(200);
  });

  // Guards against a start with half of the settings, and against mistakes that are told one by one.
  it('names all mistakes in its settings and exits with 2', async () => {
    settings = { 'host-id': 'host-1', zone: '', unknown: 'ignored', 'stop-grace-s': 'soon' };
    writeSettings();
    expect(await launch()).toBe(2);
    for (const name of ['zone', 'caller-address', 'source', 'stop-grace-s']) {
      expect(output).toContain(`--${name}`);
    }
    expect(output).not.toContain('unknown');
  });

  // Guards against a host that stands still because nobody reads its log.
  it('serves although its output is not read', async () => {
    await prepare();
    writeSettings();
    void launch();
    await untilReady();
    child!.stdout!.pause();
    child!.stderr!.pause();
    const status = () =>
      new Promise<number>((resolve, reject) => {
        request({ host: '127.0.0.1', port: world.callerPort, path: '/none', agent: false }, (r) => {
          r.resume();
          resolve(r.statusCode!);
        })
          .on('error', reject)
          .end();
      });
    for (let turn = 0; turn < 600; turn += 1) expect(await status()).toBe(404);
  });
});
