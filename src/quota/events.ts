import { defineEvents } from '../logging';

/** Events of the quotas of tenants. */
export const QUOTA_EVENTS = defineEvents(2500, {
  exceeded: { number: 2500, level: 'info', message: 'calls of a tenant exceed its limit' },
  ownerSilent: {
    number: 2501,
    level: 'warn',
    message: 'the host that owns the quota of a tenant does not answer',
  },
});
