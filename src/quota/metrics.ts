import { defineMetrics } from '../metrics';

/** Metrics of the quotas of tenants. */
export const QUOTA_METRICS = defineMetrics({
  exceeded: {
    name: 'quota.exceeded',
    kind: 'counter',
    unit: 'calls',
    description: 'Calls refused since the limit of their tenant is reached, by tenant.',
  },
  unknown: {
    name: 'quota.unknown',
    kind: 'counter',
    unit: 'calls',
    description: 'Calls refused since no host could decide about the quota, by tenant.',
  },
  questions: {
    name: 'quota.questions',
    kind: 'counter',
    unit: 'datagrams',
    description: 'Questions about quotas sent to other hosts, with repetitions.',
  },
  substitutes: {
    name: 'quota.substitutes',
    kind: 'counter',
    unit: 'questions',
    description: 'Questions that needed the substitute of the owner.',
  },
});
