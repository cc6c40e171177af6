import { readFileSync } from 'node:fs';
import { join } from 'node:path';

import { renderPages } from '../scripts/docs';
import { type EventDefinition } from '../src';
import { readCatalogue } from '../scripts/docs/catalogue';

// Guards against generated pages that were not updated after a change to the schema, the events or
// the metrics.
test('generated pages are up to date; `npm run docs` updates them', async () => {
  for (const [name, text] of await renderPages()) {
    expect({ name, text: readFileSync(join(__dirname, '..', 'docs', name), 'utf8') }).toEqual({
      name,
      text,
    });
  }
});

// Guards against two modules that assign the same number to different events.
test('event numbers are unique over all modules', async () => {
  const modules = await readCatalogue<EventDefinition>(join(__dirname, '..', 'src'), 'events');
  const numbers = modules.flatMap(({ definitions }) => definitions.map(({ number }) => number));
  expect(numbers.length).toBeGreaterThan(9);
  expect(new Set(numbers).size).toBe(numbers.length);
});
