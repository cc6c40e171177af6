import { createHash } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';

import digests from '../src/peer/generated/digests.json';

// Guards against a changed protocol file without regenerated code, and against edits by hand.
test.each(Object.entries(digests))('%s is what `npm run generate` last saw', (file, digest) => {
  const content = readFileSync(join(__dirname, '..', file));
  expect(createHash('sha256').update(content).digest('hex')).toBe(digest);
});
