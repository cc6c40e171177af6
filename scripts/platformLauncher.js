// Starts the bundled daemon with the V8 code cache of the build, if this Node.js version accepts it.

// While the bundle loads, these signals would end the process. The daemon adds its own listeners, which
// receive what arrived meanwhile.
if (require.main === module)
  for (const signal of ['SIGHUP', 'SIGTERM', 'SIGINT']) process.on(signal, () => {});

const { readFileSync } = require('node:fs');
const Module = require('node:module');
const { join } = require('node:path');
const { Script } = require('node:vm');

function readCache(path) {
  try {
    return readFileSync(path);
  } catch {
    // Without a code cache the bundle is compiled again, which only takes longer.
    return undefined;
  }
}

/** Runs the bundle at `path` as a module; returns its compiled script. */
function loadBundle(path) {
  const source = Module.wrap(readFileSync(path, 'utf8'));
  const script = new Script(source, { filename: path, cachedData: readCache(`${path}.cache`) });
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

module.exports = { loadBundle };

if (require.main === module) loadBundle(join(__dirname, 'balancer.js'));
