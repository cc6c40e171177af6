import { type MetricDefinition } from './metricDefinition';

/** Receives the values of metrics; tests pass a recording sink. */
export interface MetricsSink {
  increment(metric: MetricDefinition, by?: number, tags?: Readonly<Record<string, string>>): void;
  gauge(metric: MetricDefinition, value: number, tags?: Readonly<Record<string, string>>): void;
  timing(
    metric: MetricDefinition,
    milliseconds: number,
    tags?: Readonly<Record<string, string>>,
  ): void;
}
