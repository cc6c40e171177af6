import { defineEvents } from '../logging';

/** Events of delivery. */
export const DELIVERY_EVENTS = defineEvents(2200, {
  placed: { number: 2200, level: 'info', message: 'call placed' },
  attemptFailed: { number: 2201, level: 'info', message: 'attempt gave no answer' },
  hedged: { number: 2202, level: 'info', message: 'second target asked' },
  ended: { number: 2203, level: 'info', message: 'call ended' },
  targetLost: {
    number: 2204,
    level: 'warn',
    message: 'target took no connection or broke off its answer',
  },
  crash: { number: 2206, level: 'warn', message: 'target died while it ran a call' },
});
