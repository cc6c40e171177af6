import { defineEvents } from './defineEvents';

/** Events of the logging module. */
export const LOGGING_EVENTS = defineEvents(100, {
  decision: { number: 100, level: 'info', message: 'routing decision' },
  decisionsDropped: { number: 101, level: 'warn', message: 'decision log lines dropped' },
});
