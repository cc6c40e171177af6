import { build, type Histogram } from 'hdr-histogram-js';

const MICROSECONDS_PER_MS = 1000;
const SIGNIFICANT_DIGITS = 3;

/** Latency quantiles in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** Records latencies in milliseconds with a resolution of one microsecond. */
export class LatencyRecorder {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 120_000 * MICROSECONDS_PER_MS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    bitBucketSize: 32,
  });

  record(milliseconds: number): void {
    this.histogram.recordValue(Math.max(1, Math.round(milliseconds * MICROSECONDS_PER_MS)));
  }

  summary(): LatencySummary {
    const quantileMs = (percentile: number) =>
      this.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
    return {
      count: this.histogram.totalCount,
      p50: quantileMs(50),
      p99: quantileMs(99),
      p999: quantileMs(99.9),
      max: this.histogram.maxValue / MICROSECONDS_PER_MS,
    };
  }
}
