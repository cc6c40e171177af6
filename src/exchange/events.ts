import { defineEvents } from '../logging';

/** Events of the exchange between hosts. */
export const EXCHANGE_EVENTS = defineEvents(2100, {
  hostHeard: { number: 2100, level: 'info', message: 'another host was heard for the first time' },
  unreadable: { number: 2101, level: 'warn', message: 'datagram is no message of this version' },
  linkError: { number: 2102, level: 'warn', message: 'datagram could not be sent' },
  pullFailed: { number: 2103, level: 'warn', message: 'another host did not give its catalog' },
});
