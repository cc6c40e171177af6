import { inspect } from 'node:util';

import { type EventSink } from '../logging';

import { BALANCER_EVENTS } from './events';

/** Logs errors that nothing caught, and rejections that nothing handled; the process continues. */
export function logUncaughtErrors(events: EventSink): void {
  // The launcher ends the process on errors of the bundle's modules.
  process.removeAllListeners('uncaughtException');
  process.on('uncaughtException', (error: unknown) => {
    // Anything can be thrown, and an error in this listener would end the process.
    const { message, stack } = error instanceof Error ? error : new Error(inspect(error));
    events.emit(BALANCER_EVENTS.unexpected, { reason: message, stack });
  });
}
