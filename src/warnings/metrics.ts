import { defineMetrics } from '../metrics';

/** Metrics of the warnings module. */
export const WARNING_METRICS = defineMetrics({
  open: {
    name: 'warnings.open',
    kind: 'gauge',
    unit: 'warnings',
    description: 'Open warnings on the host that raises them; 0 on all other hosts.',
  },
});
