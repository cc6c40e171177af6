// Ends with 0 if the installed packages are complete and of this machine, and with 1 if `npm ci` must
// install them. Argument: the folder with package-lock.json.
const { statSync } = require('node:fs');
const { createRequire } = require('node:module');
const { join, resolve } = require('node:path');

const root = resolve(process.argv[2] ?? join(__dirname, '..'));

function modifiedAt(path) {
  return statSync(path, { throwIfNoEntry: false })?.mtimeMs ?? -Infinity;
}

// npm writes this file last, so that it is missing after an installation that was cut short.
function isComplete() {
  const installedAt = modifiedAt(join(root, 'node_modules/.package-lock.json'));
  return installedAt > modifiedAt(join(root, 'package-lock.json'));
}

// The programs in a folder that was copied from another machine may not run on this one.
function runsHere() {
  try {
    createRequire(join(root, 'package.json'))('esbuild').transformSync('');
    return true;
  } catch {
    return false;
  }
}

process.exitCode = isComplete() && runsHere() ? 0 : 1;
