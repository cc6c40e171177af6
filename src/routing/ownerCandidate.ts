import { type Owner } from '../fleet';

import { type PlacementEnd } from './choice';
import { type PoolState } from './poolState';

// The load of a pool changes within a few answer times, so the weight of a report decays to 0.
const REPORT_LIFETIME_MS = 1000;
const AVOID_AFTER_REFUSAL_MS = 200;
// An owner that reported no usable slots is ejected for this long after its last report; then its
// state counts as unknown.
const EJECTION_LIFETIME_MS = 30_000;

/** An owner of targets of one service, with its load as known to the entry host. */
export class OwnerCandidate {
  /** Calls from this host that the owner has not answered yet. */
  outstanding = 0;

  private report: PoolState | null = null;

  private reportedAt = 0;

  private outstandingAtReport = 0;

  private refusedUntil = 0;

  private nextTrialAt = 0;

  constructor(
    public owner: Owner,
    readonly own: boolean,
  ) {}

  /** Applies a load report; an owner without usable slots gets its next trial call at `trialAt`. */
  applyReport(report: PoolState, now: number, trialAt: number): void {
    if (report.limit === 0 && !this.isEjected(now)) this.nextTrialAt = trialAt;
    this.report = report;
    this.reportedAt = now;
    this.outstandingAtReport = this.outstanding;
  }

  /** Share of the owner's slots in use; 1 or more when no slot is free. */
  score(now: number): number {
    const { report } = this;
    const weight = 1 - (now - this.reportedAt) / REPORT_LIFETIME_MS;
    if (report === null || weight <= 0) return this.outstanding / this.owner.slots;
    const otherCalls = report.inFlight + report.queued - this.outstandingAtReport;
    const slots = report.limit > 0 ? report.limit : this.owner.slots;
    return (this.outstanding + Math.max(0, otherCalls) * weight) / slots;
  }

  /** True for a short time after the owner refused or failed a call. */
  isAvoided(now: number): boolean {
    return now < this.refusedUntil;
  }

  /** True when the last report of the owner said that none of its slots are usable. */
  isEjected(now: number): boolean {
    return this.report?.limit === 0 && now - this.reportedAt < EJECTION_LIFETIME_MS;
  }

  isTrialDue(now: number): boolean {
    return now >= this.nextTrialAt;
  }

  recordTrial(nextTrialAt: number): void {
    this.nextTrialAt = nextTrialAt;
  }

  /** Counts a call as outstanding until the returned function is called. */
  begin(now: () => number): (end: PlacementEnd) => void {
    this.outstanding += 1;
    let isOpen = true;
    return (end) => {
      if (!isOpen) return;
      isOpen = false;
      this.outstanding -= 1;
      if (end !== 'answered') this.refusedUntil = now() + AVOID_AFTER_REFUSAL_MS;
    };
  }
}
