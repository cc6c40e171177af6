import { type MetricsSink } from './metricsSink';

/** Discards metrics; used when no StatsD address is set. */
export class SilentSink implements MetricsSink {
  increment(): void {}

  gauge(): void {}

  timing(): void {}
}
