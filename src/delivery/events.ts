import { defineEvents } from '../logging';

/** Events of delivery. */
export const DELIVERY_EVENTS = defineEvents(2200, {
  placed: { number: 2200, level: 'info', message: 'call placed' },
  attemptFailed: { number: 2201, level: 'info', message: 'attempt ended without a usable answer' },
  hedged: { number: 2202, level: 'info', message: 'hedge sent to a second target' },
  ended: { number: 2203, level: 'info', message: 'call ended' },
  targetLost: {
    number: 2204,
    level: 'warn',
    message: 'connection to target failed or ended before a complete answer',
  },
  unexpected: { number: 2207, level: 'error', message: 'unexpected error while a call was served' },
  unreadableLimit: {
    number: 2208,
    level: 'warn',
    message: 'target states a limit of calls that is not a number; logged once for each target',
  },
  crash: { number: 2206, level: 'warn', message: 'target crashed while it ran a call' },
  turnedAway: {
    number: 2210,
    level: 'warn',
    message: 'connections of callers were turned away, because too many are open',
  },
  sharedKey: {
    number: 2211,
    level: 'warn',
    message: 'tenants have keys in common, which belong to the first of them',
  },
  tenantWithoutKeys: { number: 2212, level: 'warn', message: 'tenant has no keys' },
  unmeetableLimit: {
    number: 2213,
    level: 'warn',
    message: 'limit of a tenant cannot be met, since its burst allows no call',
  },
  targetQuiet: {
    number: 2209,
    level: 'info',
    message: 'target wants no calls from this host',
  },
});
