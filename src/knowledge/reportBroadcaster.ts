import { type Clock, EarliestTimer, type Timer } from '../runtime';

import { isLargeZone } from './largeZone';
import { USUAL_PACE_PERCENT } from './targetObservations';
import { type TargetReport } from './targetReport';

// A change is sent to the zone within this time. Beyond REFERENCE_RECEIVERS the delay grows faster
// than the number of receivers, so that a host sends fewer datagrams as its share of the calls
// falls.
const ZONE_BATCH_MS = 15;
const REFERENCE_RECEIVERS = 6;
const BATCH_SCALE_EXPONENT = 1.25;
const MAX_ZONE_BATCH_MS = 200;
// Calls that are sent to a target before its users know that it has slowed down by this factor are late.
const SLOWDOWN_FACTOR = 1.6;
const SLOWDOWN_BATCH_MS = 3;
const CROSS_ZONE_BATCH_MS = 30;
// A change of pace by less than this factor is not worth the cross-zone traffic.
const CROSS_ZONE_PACE_CHANGE_FACTOR = 1.6;
const MAX_REPORTS_PER_MESSAGE = 12;

// A pace that changed by less than this factor is sent only at the refresh interval.
const PACE_CHANGE_FACTOR = 1.2;
const REFRESH_INTERVAL_MS = 250;
// In a large zone the calls to a target change more slowly than its health checks come.
const LARGE_ZONE_REFRESH_INTERVAL_MS = 400;

// A limit is sent again at this interval, for hosts that have no answer of the target themselves.
const LIMIT_REFRESH_INTERVAL_MS = 3000;

interface SentPace {
  readonly pace: number;
  readonly at: number;
}

interface PendingReport {
  readonly report: TargetReport;
  readonly observedAt: number;
}

/** Sends batches of reports to other hosts. */
export interface ReportSink {
  broadcastReports(reports: readonly TargetReport[], isCrossZone: boolean): void;
  neighbourCount(): number;
  /** Number of hosts that a report within the zone is sent to, on average. */
  receiverCount(): number;
}

// A later load report of the same batch must not replace a failure or an unreachable target.
function batchKey(report: TargetReport): string {
  const isLoad = report.observation === 'answer' || report.observation === 'probe';
  return isLoad ? report.target : `${report.target} ${report.observation}`;
}

// A later report that says nothing of the limit of the target does not replace what is known of it.
function addPending(pending: Map<string, PendingReport>, next: PendingReport): void {
  const key = batchKey(next.report);
  const callLimit = next.report.callLimit ?? pending.get(key)?.report.callLimit ?? null;
  pending.set(key, { ...next, report: { ...next.report, callLimit } });
}

/**
 * Broadcasts the observations of this host in batches with the latest report of each target: all
 * changes to its own zone, larger changes of pace and changes of health to the other zones.
 */
export class ReportBroadcaster {
  private readonly sameZonePending = new Map<string, PendingReport>();

  private readonly crossZonePending = new Map<string, PendingReport>();

  private readonly lastCrossZonePace = new Map<string, number>();

  private readonly lastSameZonePace = new Map<string, SentPace>();

  private readonly lastLimitSentAt = new Map<string, number>();

  private readonly sameZoneTimer: EarliestTimer;

  /** Monotonic time from which on a slowdown is sent before the batch is due. */
  private nextSlowdownAt = -Infinity;

  private crossZoneTimer: Timer | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly sink: ReportSink,
  ) {
    this.sameZoneTimer = new EarliestTimer(clock, () => this.flush(this.sameZonePending, false));
  }

  /**
   * Queues a report for this zone, and for the other zones if they need it. With `hasLimitChanged`,
   * it has another limit of calls than this host knew.
   */
  enqueue(report: TargetReport, hasLimitChanged: boolean): void {
    const now = this.clock.now();
    const pending = { report, observedAt: now - report.age };
    const mustReportLimit = this.mustReportLimit(report, hasLimitChanged);
    const isSlowdown = this.isSlowdown(report);
    if (!this.mustReportToZone(report, now) && !mustReportLimit) return;
    addPending(this.sameZonePending, pending);
    this.sameZoneTimer.setBy(now + (isSlowdown ? this.slowdownBatchMs(now) : this.zoneBatchMs()));
    // Hosts of a large zone use its own targets, so that no other zone needs the report.
    if (isLargeZone(this.sink.neighbourCount())) return;
    if (!this.mustReportCrossZone(report) && !mustReportLimit) return;
    addPending(this.crossZonePending, pending);
    this.crossZoneTimer ??= this.clock.setTimer(now + CROSS_ZONE_BATCH_MS, () => {
      this.crossZoneTimer = null;
      this.flush(this.crossZonePending, true);
    });
  }

  /**
   * Records a report of another host on a target whose users tell each other their calls. In a large
   * zone they need not be told a pace again that another of them has just sent; otherwise nearly each
   * answer is reported, as a host sends few calls to one target. Without these counts the reports are
   * also the only source of the load.
   */
  recordReceived({ target, observation, pace }: TargetReport): void {
    if (!isLargeZone(this.sink.neighbourCount()) || pace === null) return;
    if (observation !== 'answer' && observation !== 'probe') return;
    this.lastSameZonePace.set(target, { pace, at: this.clock.now() });
  }

  // Whether the limit of a target has changed, or holds and was not sent lately.
  private mustReportLimit({ target, callLimit }: TargetReport, hasLimitChanged: boolean): boolean {
    const now = this.clock.now();
    const refreshAt = (this.lastLimitSentAt.get(target) ?? -Infinity) + LIMIT_REFRESH_INTERVAL_MS;
    const isDue = callLimit !== null && callLimit !== Infinity && now >= refreshAt;
    if (!hasLimitChanged && !isDue) return false;
    this.lastLimitSentAt.set(target, now);
    return true;
  }

  /** Removes the state of targets for which `has` is false. */
  retainTargets(has: (target: string) => boolean): void {
    for (const sent of [this.lastCrossZonePace, this.lastSameZonePace, this.lastLimitSentAt])
      for (const target of sent.keys()) if (!has(target)) sent.delete(target);
  }

  // In a small zone the batches are short.
  private isSlowdown({ target, pace }: TargetReport): boolean {
    if (pace === null || !isLargeZone(this.sink.neighbourCount())) return false;
    const last = this.lastSameZonePace.get(target)?.pace ?? USUAL_PACE_PERCENT;
    return pace >= last * SLOWDOWN_FACTOR;
  }

  // Targets that change their pace all the time must not end the batches.
  private slowdownBatchMs(now: number): number {
    if (now < this.nextSlowdownAt) return this.zoneBatchMs();
    this.nextSlowdownAt = now + this.zoneBatchMs();
    return SLOWDOWN_BATCH_MS;
  }

  private zoneBatchMs(): number {
    const scaleFactor = Math.max(1, this.sink.receiverCount() / REFERENCE_RECEIVERS);
    return Math.min(MAX_ZONE_BATCH_MS, ZONE_BATCH_MS * scaleFactor ** BATCH_SCALE_EXPONENT);
  }

  private refreshInterval(): number {
    return isLargeZone(this.sink.neighbourCount())
      ? LARGE_ZONE_REFRESH_INTERVAL_MS
      : REFRESH_INTERVAL_MS;
  }

  private mustReportToZone(report: TargetReport, now: number): boolean {
    if (report.observation !== 'answer' && report.observation !== 'probe') return true;
    const last = this.lastSameZonePace.get(report.target);
    const pace = report.pace ?? last?.pace ?? 100;
    if (last !== undefined) {
      const ratio = pace / last.pace;
      const isSamePace = ratio < PACE_CHANGE_FACTOR && ratio > 1 / PACE_CHANGE_FACTOR;
      if (isSamePace && now - last.at < this.refreshInterval()) return false;
    }
    this.lastSameZonePace.set(report.target, { pace, at: now });
    return true;
  }

  private mustReportCrossZone(report: TargetReport): boolean {
    if (report.observation !== 'answer' && report.observation !== 'probe')
      return report.observation !== 'ill';
    if ((report.coldLeft ?? 0) > 0) return true;
    if (report.pace === null) return false;
    const last = this.lastCrossZonePace.get(report.target) ?? 100;
    const ratio = report.pace / last;
    if (ratio < CROSS_ZONE_PACE_CHANGE_FACTOR && ratio > 1 / CROSS_ZONE_PACE_CHANGE_FACTOR)
      return false;
    this.lastCrossZonePace.set(report.target, report.pace);
    return true;
  }

  private flush(pending: Map<string, PendingReport>, isCrossZone: boolean): void {
    const now = this.clock.now();
    const reports = [...pending.values()].map(({ report, observedAt }) => ({
      ...report,
      age: Math.round((now - observedAt) * 10) / 10,
    }));
    pending.clear();
    for (let from = 0; from < reports.length; from += MAX_REPORTS_PER_MESSAGE) {
      this.sink.broadcastReports(reports.slice(from, from + MAX_REPORTS_PER_MESSAGE), isCrossZone);
    }
  }
}
