import { defineEvents } from '../logging';

/** Events of the exchange between hosts. */
export const EXCHANGE_EVENTS = defineEvents(2100, {
  hostDiscovered: {
    number: 2100,
    level: 'info',
    message: 'received a heartbeat from a host that is new or has restarted',
  },
  unreadable: {
    number: 2101,
    level: 'warn',
    message: 'datagram is not a valid message of this protocol version',
  },
  linkError: { number: 2102, level: 'warn', message: 'datagram socket failed' },
  pullFailed: {
    number: 2103,
    level: 'warn',
    message: 'pulling the catalog from another host failed',
  },
  pulled: {
    number: 2104,
    level: 'info',
    message: 'pulled catalog changes that another host knew and this one did not',
  },
});
