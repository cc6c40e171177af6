import { type Catalog, type Target } from '../catalog';
import { type Clock } from '../runtime';

import { EarlyLeavings } from './earlyLeavings';
import { type InFlightListener } from './inFlightListener';
import { type InFlightTable } from './inFlightTable';
import { type LeavingTarget } from './leavingTarget';
import { identityKey } from './identityKey';
import { type TargetStatistics } from './targetStatistics';
import { type TargetReport } from './targetReport';

/** Pace assumed for a target without reports, in percent of the usual latency. */
export const USUAL_PACE_PERCENT = 100;

// Weight of a result in the moving average of failures: about the last eight results count.
const FAILURE_SMOOTHING_WEIGHT = 0.12;
// Failures are discounted over time, so that a target that failed is used again after some seconds.
const FAILURE_HALF_LIFE_MS = 2000;
// An older load report cannot be compared with the calls that are in flight now.
const MAX_LOAD_REPORT_AGE_MS = 20;
// Without in-flight broadcasts, reports are the only source for the load of other hosts; they are
// sent in batches of up to 200 ms.
const LARGE_ZONE_MAX_LOAD_REPORT_AGE_MS = 250;
// Calls that no host has broadcast, such as those of a partitioned host, are assumed to run for
// this long unless a later report shows them again.
const UNATTRIBUTED_CALLS_LIFETIME_MS = 250;
// Only an answer to a call shows that a limit has ended, so a target is called from time to time.
const MIN_CALL_LIMIT = 0.2;
// A limit is forgotten when it was not stated for this long.
const CALL_LIMIT_LIFETIME_MS = 60_000;
// With this many slots left at a target, other hosts must know of a call before they choose it.
const URGENT_FREE_SLOTS = 1;
// A stated time without calls is bounded, so that a wrong value does not take a target out for good.
const MAX_QUIET_MS = 60 * 60 * 1000;
// Growth of the calls in flight at a target that has asked for none, for each answer afterwards.
const ALLOWANCE_GROWTH = 2;
// A call at a target that takes few may end at any moment.
const FULL_ALLOWANCE_DELAY_MS = 1;

/** Statistics of targets, from the latest observations of this host and of the others. */
export class TargetStatisticsTable {
  private readonly statistics = new Map<string, TargetStatistics>();

  private readonly earlyLeavings = new EarlyLeavings();

  constructor(
    private readonly clock: Clock,
    private readonly inFlightTable: InFlightTable,
    private readonly onInFlightChange: InFlightListener,
    /** Whether the users of the target with this key broadcast their in-flight counts. */
    private readonly hasInFlightBroadcasts: (target: number) => boolean = () => true,
  ) {}

  /** The statistics of a target; undefined if it is not in the catalog. */
  get(id: string): TargetStatistics | undefined {
    return this.statistics.get(id);
  }

  /** Adds new targets of the catalog, resets restarted ones and removes missing ones. */
  applyCatalog(catalog: Catalog): void {
    for (const target of catalog.targets.values()) {
      const previous = this.statistics.get(target.id);
      if (previous === undefined || previous.startedAt !== target.startedAt) {
        this.begin(target, previous);
        const early = this.earlyLeavings.take(target.id);
        if (early !== null) this.recordLeaving(early);
      } else {
        previous.slots = target.slots;
        previous.coldUntil = Math.max(previous.coldUntil, target.coldUntil);
      }
    }
    for (const id of this.statistics.keys())
      if (!catalog.targets.has(id)) this.statistics.delete(id);
  }

  /** Applies a report of another host, a health check or an answer. */
  applyReport(report: TargetReport): void {
    const target = this.statistics.get(report.target);
    if (target === undefined) return;
    const observedAt = this.clock.now() - report.age;
    const maxLoadAgeMs = this.hasInFlightBroadcasts(target.key)
      ? MAX_LOAD_REPORT_AGE_MS
      : LARGE_ZONE_MAX_LOAD_REPORT_AGE_MS;
    if (report.running !== null && report.age < maxLoadAgeMs && observedAt > target.loadAt) {
      const attributedCalls = target.ownInFlight + this.inFlightTable.callsAt(target.key);
      target.unattributedCalls = Math.max(
        0,
        report.running + (report.waiting ?? 0) - attributedCalls,
      );
      target.loadAt = observedAt;
    }
    if (report.pace !== null && observedAt > target.paceAt) {
      target.pace = report.pace;
      target.paceAt = observedAt;
    }
    if (report.coldLeft !== null)
      target.coldUntil = Math.max(target.coldUntil, observedAt + report.coldLeft);
    if (report.callLimit !== null && observedAt >= target.callLimitAt) {
      target.callLimit = report.callLimit;
      target.callLimitAt = observedAt;
    }
    this.applyObservation(target, report, observedAt);
  }

  /**
   * Records that a target has stated that it is leaving, which holds until it starts again; returns
   * whether this was not known.
   */
  recordLeaving({ id, startedAt }: LeavingTarget): boolean {
    const target = this.statistics.get(id);
    // The message may be about the start before, or about one that is not in the catalog yet.
    if (target === undefined || target.startedAt !== startedAt) {
      this.earlyLeavings.keep({ id, startedAt });
      return false;
    }
    const isNews = target.quietUntil !== Infinity;
    target.quietUntil = Infinity;
    return isNews;
  }

  /** The targets that have stated that they are leaving. */
  leavingTargets(): readonly LeavingTarget[] {
    return [...this.statistics.values()].filter(({ quietUntil }) => quietUntil === Infinity);
  }

  /** Records that a target wants no calls from this host for some time. */
  recordQuiet(id: string, quietMs: number): void {
    const target = this.statistics.get(id);
    if (target === undefined || quietMs <= 0) return;
    const until = this.clock.now() + Math.min(quietMs, MAX_QUIET_MS);
    target.quietUntil = Math.max(target.quietUntil, until);
    target.callAllowance = 1;
  }

  /** Whether a target wants no calls from this host now. */
  isQuiet(id: string): boolean {
    return (this.statistics.get(id)?.quietUntil ?? -Infinity) > this.clock.now();
  }

  /** Whether a target has stated that it is leaving. */
  isLeaving(id: string): boolean {
    return this.statistics.get(id)?.quietUntil === Infinity;
  }

  /**
   * Time in milliseconds for which a target wants no calls from this host, or no more than run;
   * Infinity for one that is leaving.
   */
  quietForMs(id: string): number {
    const target = this.statistics.get(id);
    if (target === undefined) return 0;
    const isAllowanceUsed = target.ownInFlight >= target.callAllowance;
    return Math.max(
      target.quietUntil - this.clock.now(),
      isAllowanceUsed ? FULL_ALLOWANCE_DELAY_MS : 0,
    );
  }

  /** Records that this host sent a call to the target. */
  recordSent(id: string): void {
    const target = this.statistics.get(id);
    if (target === undefined) return;
    target.ownInFlight += 1;
    const freeSlots = target.slots - this.load(target);
    this.onInFlightChange(
      target.key,
      target.ownInFlight,
      freeSlots,
      freeSlots <= URGENT_FREE_SLOTS,
    );
  }

  /** Records that a call of this host has ended at the target. */
  recordEnded(id: string): void {
    const target = this.statistics.get(id);
    if (target === undefined) return;
    target.ownInFlight = Math.max(0, target.ownInFlight - 1);
    this.onInFlightChange(target.key, target.ownInFlight, target.slots - this.load(target), false);
  }

  /** Estimated number of calls of all hosts that run or wait at a target now. */
  load(target: TargetStatistics): number {
    const lifetimeMs = this.hasInFlightBroadcasts(target.key)
      ? UNATTRIBUTED_CALLS_LIFETIME_MS
      : UNATTRIBUTED_CALLS_LIFETIME_MS + LARGE_ZONE_MAX_LOAD_REPORT_AGE_MS;
    const unattributedCalls =
      this.clock.now() - target.loadAt < lifetimeMs ? target.unattributedCalls : 0;
    return target.ownInFlight + this.inFlightTable.callsAt(target.key) + unattributedCalls;
  }

  /**
   * Calls per second that the target takes from all hosts; Infinity without a limit. A limit that was
   * not stated again for some time is no longer known to hold.
   */
  callLimit({ callLimit, callLimitAt }: TargetStatistics): number {
    const isKnown = this.clock.now() - callLimitAt < CALL_LIMIT_LIFETIME_MS;
    return isKnown ? Math.max(callLimit, MIN_CALL_LIMIT) : Infinity;
  }

  /** Whether a report states another limit of calls than is known. */
  hasOtherLimit({ target, callLimit }: TargetReport): boolean {
    const known = this.statistics.get(target)?.callLimit;
    return callLimit !== null && known !== undefined && callLimit !== known;
  }

  /** Share of recent calls that failed, decayed by the time since the last result. */
  failureShare(target: TargetStatistics): number {
    const age = this.clock.now() - target.failureAt;
    return target.failureShare * 0.5 ** (age / FAILURE_HALF_LIFE_MS);
  }

  private applyObservation(
    target: TargetStatistics,
    report: TargetReport,
    observedAt: number,
  ): void {
    switch (report.observation) {
      case 'answer':
        target.confirmedHealthyAt = Math.max(target.confirmedHealthyAt, observedAt);
        this.recordResult(target, 0);
        if (observedAt > target.quietUntil) this.extendAllowance(target);
        break;
      case 'probe':
        target.confirmedHealthyAt = Math.max(target.confirmedHealthyAt, observedAt);
        target.isUnhealthy = false;
        break;
      case 'ill':
        target.isUnhealthy = true;
        break;
      case 'failure':
        this.recordResult(target, 1);
        break;
      case 'refusal':
        // The target is up, but only looks emptier than others because it runs nothing.
        target.confirmedHealthyAt = Math.max(target.confirmedHealthyAt, observedAt);
        this.recordResult(target, 1);
        break;
      default:
        target.lostAt = Math.max(target.lostAt, observedAt);
    }
  }

  private extendAllowance(target: TargetStatistics): void {
    const extended = target.callAllowance * ALLOWANCE_GROWTH;
    target.callAllowance = extended > target.slots ? Infinity : extended;
  }

  private recordResult(target: TargetStatistics, failure: number): void {
    const share = this.failureShare(target);
    target.failureShare = share + FAILURE_SMOOTHING_WEIGHT * (failure - share);
    target.failureAt = this.clock.now();
  }

  private begin(target: Target, previous: TargetStatistics | undefined): void {
    const now = this.clock.now();
    this.statistics.set(target.id, {
      id: target.id,
      key: previous?.key ?? identityKey(target.id),
      service: target.service,
      slots: target.slots,
      startedAt: target.startedAt,
      unattributedCalls: 0,
      loadAt: -Infinity,
      pace: USUAL_PACE_PERCENT,
      paceAt: -Infinity,
      ownInFlight: previous?.ownInFlight ?? 0,
      coldUntil: target.coldUntil,
      callLimit: Infinity,
      callLimitAt: -Infinity,
      quietUntil: -Infinity,
      callAllowance: Infinity,
      failureShare: 0,
      failureAt: now,
      confirmedHealthyAt: -Infinity,
      announcedAt: now,
      // A restarted target must first be confirmed healthy by a health check.
      lostAt: previous === undefined ? 0 : now,
      isUnhealthy: false,
    });
  }
}
