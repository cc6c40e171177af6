import { defineEvents } from '../logging';

/** Events of the warnings module. */
export const WARNING_EVENTS = defineEvents(1200, {
  raised: { number: 1200, level: 'warn', message: 'warning raised: operator action required' },
  cleared: { number: 1201, level: 'info', message: 'warning cleared' },
  continued: { number: 1202, level: 'info', message: 'warning continued by another host' },
});
