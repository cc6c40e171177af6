import { defineEvents } from '../logging';

/** Events of the gateway module. */
export const GATEWAY_EVENTS = defineEvents(1400, {
  started: { number: 1400, level: 'info', message: 'gateway started' },
  closeFailed: { number: 1401, level: 'error', message: 'resource failed to close' },
  stopped: { number: 1402, level: 'info', message: 'gateway stopped' },
  ready: { number: 1404, level: 'info', message: 'gateway ready' },
  noStartSheet: { number: 1405, level: 'info', message: 'no valid sheet published at start' },
  stopping: { number: 1406, level: 'info', message: 'gateway stopping' },
  callsInterrupted: { number: 1407, level: 'error', message: 'calls interrupted by the stop' },
  metricsFailed: { number: 1408, level: 'warn', message: 'metrics could not be sent' },
  portInUse: {
    number: 1409,
    level: 'warn',
    message: 'waiting for a port that could not be opened',
  },
  portOpened: { number: 1410, level: 'info', message: 'port opened after a wait' },
  failed: { number: 1411, level: 'error', message: 'gateway ends because of an unexpected error' },
  startFailed: { number: 1403, level: 'error', message: 'gateway failed to start' },
});
