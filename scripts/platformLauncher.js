// Starts the bundled daemon with the V8 code cache of the build, if this Node.js version accepts it.

// While the bundle loads, these signals would end the process. The daemon adds its own listeners, which
// receive what arrived meanwhile.
if (require.main === module)
  for (const signal of ['SIGHUP', 'SIGTERM', 'SIGINT']) process.on(signal, () => {});

const { createHash } = require('node:crypto');
const { readFileSync, writeSync } = require('node:fs');
const { hostname } = require('node:os');
const Module = require('node:module');
const { join } = require('node:path');
const { Script } = require('node:vm');

// Number and message of the event `exited` of src/balancer/events.ts.
const EXIT_EVENT = { level: 30, event: 2320, msg: 'balancer process ends' };

// A bundle that cannot be loaded leaves no other line. The daemon replaces this listener.
function exitAfterError(error) {
  const reason = String(error?.stack ?? error);
  const origin = { name: 'limpetknot', hostname: hostname(), pid: process.pid };
  const line = { ...origin, v: 0, ...EXIT_EVENT, time: new Date().toISOString(), reason, code: 1 };
  try {
    writeSync(1, `${JSON.stringify(line)}\n`);
  } catch {
    // The pipe is full or its reader is gone.
  }
  // A part of the bundle that was loaded must not keep the process alive.
  // eslint-disable-next-line n/no-process-exit
  process.exit(1);
}

const CHECKSUM_BYTES = 32;

function checksumOf(source, code) {
  const hash = createHash('sha256').update(`${process.version} ${process.arch}`);
  return hash.update(source).update(code).digest();
}

/** Content of the code cache for a bundle and the code that V8 compiled from it. */
function sealCache(source, code) {
  return Buffer.concat([checksumOf(source, code), code]);
}

// V8 checks the length and version of a code cache but not its content; a damaged one ends the process.
function readCache(path, source) {
  try {
    const cache = readFileSync(path);
    const code = cache.subarray(CHECKSUM_BYTES);
    const isSound = checksumOf(source, code).equals(cache.subarray(0, CHECKSUM_BYTES));
    return isSound ? code : undefined;
  } catch {
    // Without a code cache the bundle is compiled again, which only takes longer.
    return undefined;
  }
}

/** Runs the bundle at `path` as a module; returns its compiled script. */
function loadBundle(path) {
  const source = readFileSync(path, 'utf8');
  const cachedData = readCache(`${path}.cache`, source);
  const script = new Script(Module.wrap(source), { filename: path, cachedData });
  const loaded = new Module(path, null);
  loaded.filename = path;
  script.runInThisContext()(
    loaded.exports,
    Module.createRequire(path),
    loaded,
    path,
    join(path, '..'),
  );
  return script;
}

module.exports = { loadBundle, sealCache };

if (require.main === module) {
  process.on('uncaughtException', exitAfterError);
  loadBundle(join(__dirname, 'balancer.js'));
}
