import { defineMetrics } from '../metrics';

/** Metrics of a balancer process. */
export const BALANCER_METRICS = defineMetrics({
  calls: {
    name: 'balancer.calls',
    kind: 'counter',
    unit: 'calls',
    description: 'Calls by route and outcome.',
  },
  callTime: {
    name: 'balancer.call_time',
    kind: 'timing',
    unit: 'ms',
    description: 'Time from the arrival of a call to its final answer, by route.',
  },
  unauthorized: {
    name: 'balancer.calls_unauthorized',
    kind: 'counter',
    unit: 'calls',
    description: 'Calls answered 401, for want of a key or with an unknown one.',
  },
  tenantCalls: {
    name: 'balancer.tenant_calls',
    kind: 'counter',
    unit: 'calls',
    description:
      'Calls by tenant and outcome; those of all tenants beyond the first 100 are counted together.',
  },
  attempts: {
    name: 'balancer.attempts',
    kind: 'counter',
    unit: 'attempts',
    description: 'Attempts sent to targets, by service.',
  },
  attemptTime: {
    name: 'balancer.attempt_time',
    kind: 'timing',
    unit: 'ms',
    description: 'Time from sending a call to the start of its answer, by service.',
  },
  retries: {
    name: 'balancer.repeats',
    kind: 'counter',
    unit: 'attempts',
    description: 'Attempts charged to the retry budget, by service.',
  },
  yields: {
    name: 'balancer.calls_yielded',
    kind: 'counter',
    unit: 'calls',
    description: 'Calls that left a free slot to urgent calls that were expected, by service.',
  },
  turns: {
    name: 'balancer.calls_in_turn',
    kind: 'counter',
    unit: 'calls',
    description:
      'Calls placed before others because their rank or tenant was passed over too often, by service.',
  },
  refusals: {
    name: 'balancer.calls_refused',
    kind: 'counter',
    unit: 'calls',
    description: 'Calls refused as not run, by reason and rank (0 is the most urgent).',
  },
  connections: {
    name: 'balancer.connections_opened',
    kind: 'counter',
    unit: 'connections',
    description: 'Connections opened to targets.',
  },
  probes: {
    name: 'balancer.probes',
    kind: 'counter',
    unit: 'probes',
    description: 'Health checks sent to targets.',
  },
  sourceAnswers: {
    name: 'balancer.source_answers',
    kind: 'counter',
    unit: 'answers',
    description: 'Answers received from the catalog source.',
  },
  awaitedAddresses: {
    name: 'balancer.addresses_awaited',
    kind: 'gauge',
    unit: 'addresses',
    description: 'Addresses that could not be opened yet.',
  },
  hosts: { name: 'balancer.hosts', kind: 'gauge', unit: 'hosts', description: 'Other live hosts.' },
  asOf: {
    name: 'balancer.catalog_revision',
    kind: 'gauge',
    unit: 'revision',
    description: 'Revision up to which the catalog is complete.',
  },
  newest: {
    name: 'balancer.newest_revision',
    kind: 'gauge',
    unit: 'revision',
    description: 'Highest revision known; above the complete one while records may be missing.',
  },
  version: {
    name: 'balancer.configuration_version',
    kind: 'gauge',
    unit: 'version',
    description: 'Version of the configuration in use; 0 before the first.',
  },
  targets: {
    name: 'balancer.targets',
    kind: 'gauge',
    unit: 'targets',
    description: 'Targets in the catalog, by state.',
  },
  loopDelay: {
    name: 'balancer.loop_delay',
    kind: 'timing',
    unit: 'ms',
    description: 'Delay of a timer of 100 ms beyond its due time.',
  },
  linesDropped: {
    name: 'balancer.log_lines_dropped',
    kind: 'gauge',
    unit: 'lines',
    description: 'Log lines dropped since the start because the output was blocked.',
  },
});
