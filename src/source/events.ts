import { defineEvents } from '../logging';

/** Events of the source module. */
export const SOURCE_EVENTS = defineEvents(2000, {
  regained: { number: 2000, level: 'info', message: 'catalog source answers' },
  lost: { number: 2001, level: 'warn', message: 'catalog source does not answer' },
  stopped: { number: 2003, level: 'info', message: 'another host reads the catalog' },
  changed: { number: 2004, level: 'info', message: 'catalog changed' },
});
