import { StatsD } from 'hot-shots';

import { type MetricDefinition } from './metricDefinition';
import { type MetricsSink } from './metricsSink';

type Tags = Readonly<Record<string, string>>;

// One datagram carries many metrics; a packet for each would cost more than the call it counts.
const DATAGRAM_BYTES = 1400;
const FLUSH_INTERVAL_MS = 500;

/** Sends metrics as StatsD datagrams over UDP. */
export class StatsdSink implements MetricsSink {
  private readonly client: StatsD;

  constructor(host: string, port: number, onError: (error: Error) => void) {
    this.client = new StatsD({
      host,
      port,
      prefix: 'limpetknot.',
      maxBufferSize: DATAGRAM_BYTES,
      bufferFlushInterval: FLUSH_INTERVAL_MS,
      errorHandler: onError,
    });
  }

  increment(metric: MetricDefinition, by = 1, tags: Tags = {}): void {
    this.client.increment(metric.name, by, { ...tags });
  }

  gauge(metric: MetricDefinition, value: number, tags: Tags = {}): void {
    this.client.gauge(metric.name, value, { ...tags });
  }

  timing(metric: MetricDefinition, milliseconds: number, tags: Tags = {}): void {
    this.client.timing(metric.name, milliseconds, { ...tags });
  }

  /** Flushes and closes the socket. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      this.client.close(() => resolve());
    });
  }
}
