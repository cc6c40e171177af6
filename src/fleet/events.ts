import { defineEvents } from '../logging';

/** Log events of the fleet module. */
export const FLEET_EVENTS = defineEvents(600, {
  established: { number: 600, level: 'info', message: 'host is established' },
  epochChanged: { number: 601, level: 'info', message: 'fleet record changed' },
  sheetMissing: { number: 602, level: 'warn', message: 'sheet of a record cannot be obtained' },
  changeFailed: { number: 603, level: 'info', message: 'automatic change was not accepted' },
  orderAccepted: { number: 604, level: 'info', message: 'order accepted' },
  orderRejected: { number: 605, level: 'warn', message: 'order not accepted' },
  taskFailed: { number: 606, level: 'error', message: 'fleet task failed' },
});
