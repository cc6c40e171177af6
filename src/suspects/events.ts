import { defineEvents } from '../logging';

/** Events of the suspects module. */
export const SUSPECT_EVENTS = defineEvents(1000, {
  targetDied: { number: 1000, level: 'info', message: 'target crashed while it ran a call' },
  callRefused: { number: 1001, level: 'warn', message: 'call refused because it crashes targets' },
});
