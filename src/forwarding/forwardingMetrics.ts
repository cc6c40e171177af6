import { type MetricsSink } from '../metrics';
import { type OutcomeRecorder } from '../outcomes';

import { type LoadGuard } from './loadGuard';
import { FORWARDING_METRICS } from './metrics';

// Durations sent for each flush; the sink counts datagrams, and a call must cost little.
const DURATIONS_KEPT = 32;

/** Counts what forwarding does, and passes the sums on at each flush. */
export class ForwardingMetrics {
  private ownPlacements = 0;

  private relayedPlacements = 0;

  private readonly repeats: Record<string, number> = {};

  private readonly durations = new Float64Array(DURATIONS_KEPT);

  private durationCount = 0;

  private sentOutcomes: Readonly<Record<string, number>> = {};

  private sentViolations: Readonly<Record<string, number>> = {};

  constructor(
    private readonly recorder: OutcomeRecorder,
    private readonly loadGuard: LoadGuard,
    private readonly sink: MetricsSink,
  ) {}

  /** Counts a placement on an own target or by relay. */
  placed(own: boolean): void {
    if (own) this.ownPlacements += 1;
    else this.relayedPlacements += 1;
  }

  /** Counts a retry or a hedge. */
  repeated(cause: string): void {
    this.repeats[cause] = (this.repeats[cause] ?? 0) + 1;
  }

  /** Adds the duration of a call in milliseconds; the latest ones of each second are sent. */
  ended(milliseconds: number): void {
    this.durations[this.durationCount % DURATIONS_KEPT] = milliseconds;
    this.durationCount += 1;
  }

  /** Sends what was counted since the last flush. */
  flush(): void {
    this.flushPlacements();
    for (const [cause, count] of Object.entries(this.repeats)) {
      if (count > 0) this.sink.increment(FORWARDING_METRICS.repeats, count, { cause });
      this.repeats[cause] = 0;
    }
    this.sentOutcomes = this.flushTotals('outcomes', 'outcome', this.sentOutcomes);
    this.sentViolations = this.flushTotals('violations', 'violation', this.sentViolations);
    const durations = this.durations.subarray(0, Math.min(this.durationCount, DURATIONS_KEPT));
    durations.forEach((duration) => this.sink.timing(FORWARDING_METRICS.duration, duration));
    this.durationCount = 0;
    this.sink.gauge(FORWARDING_METRICS.held, this.loadGuard.callsHeld());
    this.sink.gauge(FORWARDING_METRICS.eventLoopDelay, this.loadGuard.eventLoopDelay());
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
    sent: Readonly<Record<string, number>>,
  ): Readonly<Record<string, number>> {
    const totals: Readonly<Record<string, number>> = { ...this.recorder[name] };
    for (const [kind, total] of Object.entries(totals)) {
      const more = total - (sent[kind] ?? 0);
      if (more > 0) this.sink.increment(FORWARDING_METRICS[name], more, { [tag]: kind });
    }
    return totals;
  }
}
