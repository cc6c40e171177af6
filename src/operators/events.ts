import { defineEvents } from '../logging';

/** Events of the operators module. */
export const OPERATOR_EVENTS = defineEvents(1300, {
  orderReceived: { number: 1300, level: 'info', message: 'order received' },
  orderAccepted: { number: 1301, level: 'info', message: 'order accepted' },
  orderNotAccepted: { number: 1302, level: 'warn', message: 'order not accepted' },
  requestRefused: { number: 1303, level: 'warn', message: 'operator request refused' },
  requestFailed: { number: 1304, level: 'error', message: 'operator request failed' },
});
