/** Kind of a metric in StatsD terms. */
export type MetricKind = 'counter' | 'gauge' | 'timing';

/** One metric of the catalogue in docs/metrics.md. */
export interface MetricDefinition {
  readonly name: string;
  readonly kind: MetricKind;
  readonly unit: string;
  readonly description: string;
}
