import { createHash } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';

import digests from '../src/peer/generated/digests.json';

// Guards against a protocol file that was changed without regenerating the code, and against manual
// edits of the generated code.
test.each(Object.entries(digests))(
  '%s is unchanged since the last `npm run generate`',
  (file, digest) => {
    const content = readFileSync(join(__dirname, '..', file));
    expect(createHash('sha256').update(content).digest('hex')).toBe(digest);
  },
);
