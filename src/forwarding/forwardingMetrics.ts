import { type MetricsSink } from '../metrics';
import { type OutcomeRecorder } from '../outcomes';

import { type LoadShedder } from './loadShedder';
import { FORWARDING_METRICS } from './metrics';

// Each duration is a datagram of its own, so a sample keeps the cost per call low.
const MAX_DURATIONS_PER_FLUSH = 32;

/** Aggregates the metrics of forwarding and sends the sums at each flush. */
export class ForwardingMetrics {
  private ownPlacements = 0;

  private relayedPlacements = 0;

  private readonly extraAttempts: Record<string, number> = {};

  private readonly durationsMs = new Float64Array(MAX_DURATIONS_PER_FLUSH);

  private durationCount = 0;

  private lastOutcomes: Readonly<Record<string, number>> = {};

  private lastViolations: Readonly<Record<string, number>> = {};

  constructor(
    private readonly recorder: OutcomeRecorder,
    private readonly loadShedder: LoadShedder,
    private readonly sink: MetricsSink,
  ) {}

  /** Counts a placement on a target of this host or by relay. */
  countPlacement(isOwnTarget: boolean): void {
    if (isOwnTarget) this.ownPlacements += 1;
    else this.relayedPlacements += 1;
  }

  /** Counts a retry or a hedge. */
  countExtraAttempt(cause: string): void {
    this.extraAttempts[cause] = (this.extraAttempts[cause] ?? 0) + 1;
  }

  /** Records the duration of a call in milliseconds; each flush sends the most recent ones. */
  recordDuration(milliseconds: number): void {
    this.durationsMs[this.durationCount % MAX_DURATIONS_PER_FLUSH] = milliseconds;
    this.durationCount += 1;
  }

  /** Sends the counts since the last flush and the current gauges. */
  flush(): void {
    this.flushPlacements();
    for (const [cause, count] of Object.entries(this.extraAttempts)) {
      if (count > 0) this.sink.increment(FORWARDING_METRICS.repeats, count, { cause });
      this.extraAttempts[cause] = 0;
    }
    this.lastOutcomes = this.flushTotals('outcomes', 'outcome', this.lastOutcomes);
    this.lastViolations = this.flushTotals('violations', 'violation', this.lastViolations);
    const durations = this.durationsMs.subarray(
      0,
      Math.min(this.durationCount, MAX_DURATIONS_PER_FLUSH),
    );
    durations.forEach((duration) => this.sink.timing(FORWARDING_METRICS.duration, duration));
    this.durationCount = 0;
    this.sink.gauge(FORWARDING_METRICS.held, this.loadShedder.callsHeld());
    this.sink.gauge(FORWARDING_METRICS.eventLoopDelay, this.loadShedder.eventLoopDelay());
  }

  private flushPlacements(): void {
    const { placements } = FORWARDING_METRICS;
    if (this.ownPlacements > 0) {
      this.sink.increment(placements, this.ownPlacements, { way: 'own' });
    }
    if (this.relayedPlacements > 0) {
      this.sink.increment(placements, this.relayedPlacements, { way: 'relay' });
    }
    this.ownPlacements = 0;
    this.relayedPlacements = 0;
  }

  private flushTotals(
    name: 'outcomes' | 'violations',
    tag: string,
    lastTotals: Readonly<Record<string, number>>,
  ): Readonly<Record<string, number>> {
    const totals: Readonly<Record<string, number>> = { ...this.recorder[name] };
    for (const [kind, total] of Object.entries(totals)) {
      const increase = total - (lastTotals[kind] ?? 0);
      if (increase > 0) this.sink.increment(FORWARDING_METRICS[name], increase, { [tag]: kind });
    }
    return totals;
  }
}
