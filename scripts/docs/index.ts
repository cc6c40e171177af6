import { join } from 'node:path';

import { type EventDefinition, type MetricDefinition } from '../../src';

import { capacityPage } from './capacityPage';
import { readCatalogue } from './catalogue';
import { eventsPage } from './eventsPage';
import { metricsPage } from './metricsPage';
import { sheetPage } from './sheetPage';

const SOURCE = join(__dirname, '..', '..', 'src');

/** The generated pages by file name in docs/. */
export async function renderPages(): Promise<ReadonlyMap<string, string>> {
  const events = await readCatalogue<EventDefinition>(SOURCE, 'events');
  const metrics = await readCatalogue<MetricDefinition>(SOURCE, 'metrics');
  return new Map([
    ['sheet.md', sheetPage()],
    ['events.md', eventsPage(events)],
    ['metrics.md', metricsPage(metrics)],
    ['CAPACITY.md', capacityPage()],
  ]);
}
