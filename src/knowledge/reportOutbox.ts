import { type Clock, type Timer } from '../runtime';

import { type TargetReport } from './targetReport';

// A change reaches the zone within this time; neighbours beyond REFERENCE_NEIGHBOURS stretch it by more
// than their number, so that a host's datagrams fall while it carries a smaller share of the calls.
const ZONE_BATCH_MS = 15;
const REFERENCE_NEIGHBOURS = 6;
const STRETCH_EXPONENT = 1.25;
const LONGEST_ZONE_BATCH_MS = 200;
const FAR_BATCH_MS = 30;
// A change of pace by less than this factor is not worth bytes between zones.
const FAR_PACE_FACTOR = 1.6;
const MOST_REPORTS = 12;

// What has not changed by more than this is told only as a sign of life.
const PACE_FACTOR = 1.2;
const REFRESH_MS = 250;

interface Told {
  readonly pace: number;
  readonly at: number;
}

interface Waiting {
  readonly report: TargetReport;
  readonly seenAt: number;
}

/** Where batches of reports go. */
export interface ReportSink {
  spreadReports(reports: readonly TargetReport[], isFar: boolean): void;
  neighbourCount(): number;
}

// A failure or loss is not replaced by a later report of load of the same batch.
function keyOf(report: TargetReport): string {
  const isLoad = report.sight === 'answer' || report.sight === 'probe';
  return isLoad ? report.target : `${report.target} ${report.sight}`;
}

/**
 * Batches what this host sees, the newest of each target: everything for its zone, changes of pace
 * and of health for the others.
 */
export class ReportOutbox {
  private readonly near = new Map<string, Waiting>();

  private readonly far = new Map<string, Waiting>();

  private readonly lastFarPace = new Map<string, number>();

  private readonly told = new Map<string, Told>();

  private nearTimer: Timer | null = null;

  private farTimer: Timer | null = null;

  constructor(
    private readonly clock: Clock,
    private readonly sink: ReportSink,
  ) {}

  /** Queues what was just seen; `isNear` unless the zone already knows. */
  add(report: TargetReport): void {
    const now = this.clock.now();
    const waiting = { report, seenAt: now - report.age };
    if (!this.isNearNews(report, now)) return;
    this.near.set(keyOf(report), waiting);
    this.nearTimer ??= this.clock.setTimer(now + this.zoneBatchMs(), () => {
      this.nearTimer = null;
      this.flush(this.near, false);
    });
    if (!this.isFarNews(report)) return;
    this.far.set(keyOf(report), waiting);
    this.farTimer ??= this.clock.setTimer(now + FAR_BATCH_MS, () => {
      this.farTimer = null;
      this.flush(this.far, true);
    });
  }

  private zoneBatchMs(): number {
    const crowd = Math.max(1, this.sink.neighbourCount() / REFERENCE_NEIGHBOURS);
    return Math.min(LONGEST_ZONE_BATCH_MS, ZONE_BATCH_MS * crowd ** STRETCH_EXPONENT);
  }

  private isNearNews(report: TargetReport, now: number): boolean {
    if (report.sight !== 'answer' && report.sight !== 'probe') return true;
    const last = this.told.get(report.target);
    const pace = report.pace ?? last?.pace ?? 100;
    if (last !== undefined) {
      const ratio = pace / last.pace;
      const isSamePace = ratio < PACE_FACTOR && ratio > 1 / PACE_FACTOR;
      if (isSamePace && now - last.at < REFRESH_MS) return false;
    }
    this.told.set(report.target, { pace, at: now });
    return true;
  }

  private isFarNews(report: TargetReport): boolean {
    if (report.sight !== 'answer' && report.sight !== 'probe') return report.sight !== 'ill';
    if ((report.coldLeft ?? 0) > 0) return true;
    if (report.pace === null) return false;
    const last = this.lastFarPace.get(report.target) ?? 100;
    const ratio = report.pace / last;
    if (ratio < FAR_PACE_FACTOR && ratio > 1 / FAR_PACE_FACTOR) return false;
    this.lastFarPace.set(report.target, report.pace);
    return true;
  }

  private flush(waiting: Map<string, Waiting>, isFar: boolean): void {
    const now = this.clock.now();
    const reports = [...waiting.values()].map(({ report, seenAt }) => ({
      ...report,
      age: Math.round((now - seenAt) * 10) / 10,
    }));
    waiting.clear();
    for (let from = 0; from < reports.length; from += MOST_REPORTS) {
      this.sink.spreadReports(reports.slice(from, from + MOST_REPORTS), isFar);
    }
  }
}
