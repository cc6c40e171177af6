import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

import { renderPages } from './docs';

/** Writes the generated pages into docs/ of the current folder. */
async function writeDocs(): Promise<void> {
  for (const [name, text] of await renderPages()) {
    writeFileSync(join(process.cwd(), 'docs', name), text);
  }
}

void writeDocs();
