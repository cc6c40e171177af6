import { defineEvents } from '../logging';

/** Events of a balancer process. */
export const BALANCER_EVENTS = defineEvents(2300, {
  started: { number: 2300, level: 'info', message: 'balancer started' },
  ready: { number: 2301, level: 'info', message: 'balancer is ready for callers' },
  stopping: { number: 2302, level: 'info', message: 'balancer is stopping' },
  listenerClosed: { number: 2303, level: 'info', message: 'listener for callers closed' },
  stopped: { number: 2304, level: 'info', message: 'balancer stopped' },
  reloaded: { number: 2305, level: 'info', message: 'settings file reloaded' },
  reloadFailed: { number: 2306, level: 'warn', message: 'settings file is invalid' },
  catalogChanged: { number: 2308, level: 'info', message: 'catalog changed' },
  targetLost: { number: 2309, level: 'info', message: 'target is considered lost' },
  targetHealthy: { number: 2310, level: 'info', message: 'target is confirmed healthy' },
  targetCold: { number: 2311, level: 'info', message: 'target is considered cold' },
  interrupted: {
    number: 2312,
    level: 'warn',
    message: 'calls were aborted at the end of the grace period',
  },
  closeFailed: { number: 2313, level: 'warn', message: 'resources did not close in time' },
  linesDropped: { number: 2314, level: 'warn', message: 'log lines were dropped' },
  addressInUse: {
    number: 2316,
    level: 'warn',
    message: 'waiting for an address that could not be opened',
  },
  addressOpened: { number: 2317, level: 'info', message: 'address opened after a wait' },
  settingsAwaited: {
    number: 2318,
    level: 'warn',
    message: 'waiting for settings that are missing or invalid',
  },
  settingsRead: { number: 2319, level: 'info', message: 'settings read after a wait' },
  taskFailed: {
    number: 2321,
    level: 'error',
    message: 'unexpected error ended a task, which is started again',
  },
  exited: { number: 2320, level: 'info', message: 'balancer process ends' },
  unexpected: { number: 2315, level: 'error', message: 'unexpected error' },
});
