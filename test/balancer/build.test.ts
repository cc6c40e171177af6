import { spawnSync } from 'node:child_process';
import { mkdtempSync, readdirSync, readFileSync, rmSync, statSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const BUNDLE_SCRIPT = join(__dirname, '..', '..', 'scripts', 'bundlePlatform.js');
const TIME_LIMIT_MS = 2000;

/** Code that runs in the build before it begins. */
const OBSTACLES: Readonly<Record<string, string>> = {
  none: '',
  'a port that is held by another process': `
    import net from 'node:net';
    const { listen } = net.Server.prototype;
    let holder = null;
    net.Server.prototype.listen = function (options, ...rest) {
      if (options?.backlog === undefined || holder !== null)
        return listen.call(this, options, ...rest);
      holder = net.createServer();
      listen.call(holder, options.port, options.host, () => listen.call(this, options, ...rest));
      return this;
    };`,
  'a daemon that does not answer': `
    import http from 'node:http';
    const { emit } = http.Server.prototype;
    http.Server.prototype.emit = function (name, request, ...rest) {
      return request?.url === '/readyz' || emit.call(this, name, request, ...rest);
    };`,
};

describe('the build', () => {
  // Guards against a build that fails or hangs over its warm-up, which only shortens the start.
  it.each(Object.entries(OBSTACLES))(
    'succeeds within its time limit: %s',
    (_, code) => {
      const folder = mkdtempSync(join(tmpdir(), 'limpetknot-build-'));
      const { status, signal } = spawnSync(
        process.execPath,
        [
          ...['--import', `data:text/javascript,${encodeURIComponent(code)}`],
          ...[BUNDLE_SCRIPT, folder, String(TIME_LIMIT_MS)],
        ],
        // The daemon in the build handles SIGTERM.
        { timeout: 15_000, killSignal: 'SIGKILL' },
      );
      const names = readdirSync(folder).sort();
      const cacheBytes = names.includes('balancer.js.cache')
        ? statSync(join(folder, 'balancer.js.cache')).size
        : 0;
      rmSync(folder, { recursive: true });
      expect({ status, signal }).toEqual({ status: 0, signal: null });
      expect(names).toEqual(['balancer.js', 'balancer.js.cache', 'main.js', 'warmUp.js']);
      expect(cacheBytes).toBeGreaterThan(100_000);
    },
    20_000,
  );

  // Guards against a code cache that was damaged on its way to a host and ends every start of it.
  it.each([0.2, 0.5, 0.9])(
    'makes a code cache that may be damaged: at %d of it',
    (share) => {
      const folder = mkdtempSync(join(tmpdir(), 'limpetknot-build-'));
      spawnSync(process.execPath, [BUNDLE_SCRIPT, folder, String(TIME_LIMIT_MS)]);
      const cacheFile = join(folder, 'balancer.js.cache');
      const cache = readFileSync(cacheFile);
      cache.fill(0xff, Math.floor(cache.length * share), Math.floor(cache.length * share) + 4096);
      writeFileSync(cacheFile, cache);
      const { status, stdout } = spawnSync(process.execPath, [join(folder, 'main.js'), '--help']);
      rmSync(folder, { recursive: true });
      expect([status, stdout.toString()]).toEqual([0, expect.stringContaining('--host-id')]);
    },
    20_000,
  );
});
