import { defineMetrics } from '../metrics';

/** Metrics of the forwarding module. */
export const FORWARDING_METRICS = defineMetrics({
  outcomes: {
    name: 'calls.outcomes',
    kind: 'counter',
    unit: 'calls',
    description: 'Calls ended, by kind of outcome (tag outcome).',
  },
  violations: {
    name: 'calls.outcome_violations',
    kind: 'counter',
    unit: 'calls',
    description: 'Breaches of the outcome rules (tag violation); any value above 0 is a fault.',
  },
  repeats: {
    name: 'calls.repeats',
    kind: 'counter',
    unit: 'attempts',
    description: 'Retries and hedges of idempotent calls (tag cause).',
  },
  placements: {
    name: 'calls.placements',
    kind: 'counter',
    unit: 'placements',
    description: 'Placements on own targets and by relay (tag way).',
  },
  duration: {
    name: 'calls.duration',
    kind: 'timing',
    unit: 'milliseconds',
    description: 'Time from the request head to the end of the call, sampled once a second.',
  },
  held: {
    name: 'calls.held',
    kind: 'gauge',
    unit: 'calls',
    description: 'Calls that this host holds for callers and for other hosts.',
  },
  eventLoopDelay: {
    name: 'process.event_loop_delay',
    kind: 'gauge',
    unit: 'milliseconds',
    description: 'Smoothed delay of the event loop.',
  },
});
