import { type EventSink } from '../logging';

import { describeError } from './describeError';
import { BALANCER_EVENTS } from './events';

/** Logs errors that nothing caught, and rejections that nothing handled; the process continues. */
export function logUncaughtErrors(events: EventSink): void {
  // The launcher ends the process on errors of the bundle's modules.
  process.removeAllListeners('uncaughtException');
  process.on('uncaughtException', (error: unknown) => {
    // An error in this listener would end the process.
    events.emit(BALANCER_EVENTS.unexpected, describeError(error));
  });
}
