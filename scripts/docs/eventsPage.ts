import { type EventDefinition } from '../../src';

import { type CatalogueModule } from './catalogue';
import { table } from './table';

/** Page docs/events.md. */
export function eventsPage(modules: readonly CatalogueModule<EventDefinition>[]): string {
  const sections = modules.map(({ module, definitions }) => {
    const rows = [...definitions]
      .sort((left, right) => left.number - right.number)
      .map(({ number, level, message }) => [String(number), level, message]);
    return `## ${module}\n\n${table(['event', 'level', 'message'], rows)}\n`;
  });
  return [
    '# Events\n',
    'Written by `npm run docs` from the `events.ts` of each module. Each log line is a bunyan record',
    'whose field `event` holds the number; numbers are never given to another event.\n',
    ...sections,
  ].join('\n');
}
