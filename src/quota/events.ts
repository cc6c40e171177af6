import { defineEvents } from '../logging';

/** Events of the quotas of tenants. */
export const QUOTA_EVENTS = defineEvents(2400, {
  exceeded: { number: 2400, level: 'info', message: 'calls of a tenant exceed its limit' },
  ownerSilent: {
    number: 2401,
    level: 'warn',
    message: 'the host that owns the quota of a tenant does not answer',
  },
});
