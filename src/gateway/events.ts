import { defineEvents } from '../logging';

/** Events of the gateway module. */
export const GATEWAY_EVENTS = defineEvents(1400, {
  started: { number: 1400, level: 'info', message: 'gateway started' },
  closeFailed: { number: 1401, level: 'error', message: 'resource failed to close' },
  stopped: { number: 1402, level: 'info', message: 'gateway stopped' },
  ready: { number: 1404, level: 'info', message: 'gateway ready' },
  noStartSheet: { number: 1405, level: 'info', message: 'no valid sheet published at start' },
  startFailed: { number: 1403, level: 'error', message: 'gateway failed to start' },
});
