export { type MetricDefinition, type MetricKind } from './metricDefinition';
export { defineMetrics } from './defineMetrics';
export { type MetricsSink } from './metricsSink';
export { StatsdSink } from './statsdSink';
export { SilentSink } from './silentSink';
export { PrometheusSink } from './prometheusSink';
