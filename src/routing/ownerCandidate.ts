import { type Owner } from '../fleet';

import { type PlacementEnd } from './choice';
import { type PoolState } from './poolState';

// The load of a pool changes within a few answer times; an older report says little.
const REPORT_LIFETIME_MS = 1000;
const REFUSAL_AVOIDED_MS = 200;
// An owner without usable slots is taken as unknown again when nothing was heard for this long.
const HOLD_LIFETIME_MS = 30_000;

/** What an entry knows of an owner of targets of one service. */
export class OwnerCandidate {
  /** Calls from here that the owner has not answered yet. */
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

  /** Takes a load report; `trialAt` is when an owner without usable slots is tried again. */
  learn(report: PoolState, now: number, trialAt: number): void {
    if (report.limit === 0 && !this.isHeldBack(now)) this.nextTrialAt = trialAt;
    this.report = report;
    this.reportedAt = now;
    this.outstandingAtReport = this.outstanding;
  }

  /** Share of the owner's slots that is taken; 1 or more when there is no free one. */
  score(now: number): number {
    const { report } = this;
    const weight = 1 - (now - this.reportedAt) / REPORT_LIFETIME_MS;
    if (report === null || weight <= 0) return this.outstanding / this.owner.slots;
    const others = report.inFlight + report.queued - this.outstandingAtReport;
    const slots = report.limit > 0 ? report.limit : this.owner.slots;
    return (this.outstanding + Math.max(0, others) * weight) / slots;
  }

  /** True when the owner refused a call a moment ago. */
  isAvoided(now: number): boolean {
    return now < this.refusedUntil;
  }

  /** True when the owner has said that it holds back all its targets. */
  isHeldBack(now: number): boolean {
    return this.report?.limit === 0 && now - this.reportedAt < HOLD_LIFETIME_MS;
  }

  trialIsDue(now: number): boolean {
    return now >= this.nextTrialAt;
  }

  trialStarted(nextTrialAt: number): void {
    this.nextTrialAt = nextTrialAt;
  }

  /** Counts a call as outstanding until the returned function is called. */
  begin(now: () => number): (end: PlacementEnd) => void {
    this.outstanding += 1;
    let open = true;
    return (end) => {
      if (!open) return;
      open = false;
      this.outstanding -= 1;
      if (end !== 'answered') this.refusedUntil = now() + REFUSAL_AVOIDED_MS;
    };
  }
}
