import { build, type Histogram } from 'hdr-histogram-js';

const MICROSECONDS = 1000;
const DIGITS = 3;

/** Quantiles in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** Collects latencies in milliseconds with a resolution of a microsecond. */
export class LatencyRecorder {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 120_000 * MICROSECONDS,
    numberOfSignificantValueDigits: DIGITS,
    bitBucketSize: 32,
  });

  record(milliseconds: number): void {
    this.histogram.recordValue(Math.max(1, Math.round(milliseconds * MICROSECONDS)));
  }

  summary(): LatencySummary {
    const at = (percentile: number) =>
      this.histogram.getValueAtPercentile(percentile) / MICROSECONDS;
    return {
      count: this.histogram.totalCount,
      p50: at(50),
      p99: at(99),
      p999: at(99.9),
      max: this.histogram.maxValue / MICROSECONDS,
    };
  }
}
