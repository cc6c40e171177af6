import { type MetricDefinition } from './metricDefinition';

/** Checks and freezes the metrics of one module; throws unless names are lower case with dots. */
export function defineMetrics<Name extends string>(
  metrics: Readonly<Record<Name, MetricDefinition>>,
): Readonly<Record<Name, MetricDefinition>> {
  for (const metric of Object.values<MetricDefinition>(metrics)) {
    if (!/^[a-z]+(\.[a-z_]+)+$/.test(metric.name)) {
      throw new RangeError(`metric name ${metric.name} is not lower case with dots`);
    }
  }
  return Object.freeze(metrics);
}
