// Generates the protocol code and records the digests of its source and of the result, so that
// a test can check without the generator whether the committed code is up to date.
const { execFileSync } = require('node:child_process');
const { createHash } = require('node:crypto');
const { readFileSync, writeFileSync } = require('node:fs');
const { join } = require('node:path');

const root = join(__dirname, '..');
const digestOf = (file) =>
  createHash('sha256')
    .update(readFileSync(join(root, file)))
    .digest('hex');

execFileSync(join(root, 'node_modules/.bin/buf'), ['generate'], { cwd: root, stdio: 'inherit' });
const digests = Object.fromEntries(
  ['proto/peer.proto', 'src/peer/generated/peer.ts'].map((file) => [file, digestOf(file)]),
);
writeFileSync(
  join(root, 'src/peer/generated/digests.json'),
  `${JSON.stringify(digests, null, 2)}\n`,
);
