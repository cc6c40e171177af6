import { defineEvents } from '../logging';

/** Events of the proofs that the configuration is the newest one. */
export const FRESHNESS_EVENTS = defineEvents(2400, {
  expired: {
    number: 2400,
    level: 'warn',
    message: 'the proof that the configuration is the newest one has expired',
  },
  regained: {
    number: 2401,
    level: 'info',
    message: 'there is a proof again that the configuration is the newest one',
  },
  sinceBootIgnored: {
    number: 2402,
    level: 'warn',
    message: 'the time since boot runs faster than the other clocks and is not used',
  },
});
