// Starts the bundled daemon with V8's compiled code of the build, when that was made by this Node.js.
const { readFileSync } = require('node:fs');
const Module = require('node:module');
const { join } = require('node:path');
const { Script } = require('node:vm');

function readCache(path) {
  try {
    return readFileSync(path);
  } catch {
    // Without a cache the bundle is compiled anew, which only takes longer.
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
