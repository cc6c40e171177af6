import { defineMetrics } from '../metrics';

/** Metrics of the proofs that the configuration is the newest one. */
export const FRESHNESS_METRICS = defineMetrics({
  proofAge: {
    name: 'freshness.proof_age',
    kind: 'gauge',
    unit: 'ms',
    description:
      'Age of the proof that the configuration is the newest one; absent before the first.',
  },
  confirmations: {
    name: 'freshness.confirmations',
    kind: 'counter',
    unit: 'calls',
    description:
      'Calls to the store that ask whether the configuration is the newest one, by outcome.',
  },
  requests: {
    name: 'freshness.proof_requests',
    kind: 'counter',
    unit: 'requests',
    description: 'Requests for a proof to other hosts.',
  },
});
