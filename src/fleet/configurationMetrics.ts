import { defineMetrics } from '../metrics';

/** Metrics of reading and distributing the configuration. */
export const CONFIGURATION_METRICS = defineMetrics({
  reads: {
    name: 'configuration.reads',
    kind: 'counter',
    unit: 'reads',
    description: 'Reads of the configuration service, watches included.',
  },
  readFailures: {
    name: 'configuration.read_failures',
    kind: 'counter',
    unit: 'reads',
    description: 'Reads of the configuration service that failed.',
  },
  hostListFailures: {
    name: 'hosts.read_failures',
    kind: 'counter',
    unit: 'reads',
    description: 'Reads of the host list that failed.',
  },
  sheetBytesSent: {
    name: 'sheet.bytes_sent',
    kind: 'counter',
    unit: 'bytes',
    description: 'Compressed bytes of sheets and deltas sent to other hosts.',
  },
});
