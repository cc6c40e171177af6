import { type Catalog, type Target } from '../catalog';
import { type Clock } from '../runtime';

import { type InFlightListener } from './inFlightListener';
import { type InFlightTable } from './inFlightTable';
import { type LeavingTarget } from './leavingTarget';
import { applyObservation, decayedFailureShare, initialStatistics } from './targetObservations';
import { type TargetStatistics } from './targetStatistics';
import { type TargetReport } from './targetReport';
import { knownCallLimit, quietForMs, recordCallLimit, recordQuiet } from './targetWishes';

// An older load report cannot be compared with the calls that are in flight now.
const MAX_LOAD_REPORT_AGE_MS = 20;
// Without in-flight broadcasts, reports are the only source for the load of other hosts; they are
// sent in batches of up to 200 ms.
const LARGE_ZONE_MAX_LOAD_REPORT_AGE_MS = 250;
// Calls that no host has broadcast, such as those of a partitioned host, are assumed to run for
// this long unless a later report shows them again.
const UNATTRIBUTED_CALLS_LIFETIME_MS = 250;
// With this many slots left at a target, other hosts must know of a call before they choose it.
const URGENT_FREE_SLOTS = 1;

/** Statistics of targets, from the latest observations of this host and of the others. */
export class TargetStatisticsTable {
  private readonly statistics = new Map<string, TargetStatistics>();

  /** The targets that have stated that they are leaving. */
  private readonly leaving = new Map<string, LeavingTarget>();

  /** Ids of the targets that are not confirmed healthy since they were announced or lost. */
  private readonly unconfirmedIds = new Set<string>();

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
      if (previous === undefined || previous.startedAt !== target.startedAt)
        this.begin(target, previous);
      else {
        previous.slots = target.slots;
        previous.coldUntil = Math.max(previous.coldUntil, target.coldUntil);
      }
    }
    for (const id of this.statistics.keys()) {
      if (catalog.targets.has(id)) continue;
      this.statistics.delete(id);
      this.leaving.delete(id);
      this.unconfirmedIds.delete(id);
    }
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
    recordCallLimit(target, report, observedAt);
    applyObservation(target, report, observedAt, this.clock.now());
    this.updateUnconfirmed(target);
  }

  /**
   * Records that a target has stated that it is leaving, which holds until it starts again; returns
   * whether this was not known.
   */
  recordLeaving({ id, startedAt }: LeavingTarget): boolean {
    const target = this.statistics.get(id);
    // A late message may be about the start before.
    if (target === undefined || target.startedAt !== startedAt) return false;
    const isNews = target.quietUntil !== Infinity;
    target.quietUntil = Infinity;
    this.leaving.set(id, { id, startedAt });
    return isNews;
  }

  /** The targets that have stated that they are leaving. */
  leavingTargets(): readonly LeavingTarget[] {
    return [...this.leaving.values()];
  }

  /** Ids of the targets that are not confirmed healthy since they were announced or lost. */
  unconfirmed(): ReadonlySet<string> {
    return this.unconfirmedIds;
  }

  /** Records that a target wants no calls from this host for some time. */
  recordQuiet(id: string, quietMs: number): void {
    const target = this.statistics.get(id);
    if (target !== undefined) recordQuiet(target, quietMs, this.clock.now());
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
    return target === undefined ? 0 : quietForMs(target, this.clock.now());
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
  callLimit(target: TargetStatistics): number {
    return knownCallLimit(target, this.clock.now());
  }

  /** Whether a report states another limit of calls than is known. */
  hasOtherLimit({ target, callLimit }: TargetReport): boolean {
    const known = this.statistics.get(target)?.callLimit;
    return callLimit !== null && known !== undefined && callLimit !== known;
  }

  /** Share of recent calls that failed, decayed by the time since the last result. */
  failureShare(target: TargetStatistics): number {
    return decayedFailureShare(target, this.clock.now());
  }

  private updateUnconfirmed({ id, lostAt, confirmedHealthyAt }: TargetStatistics): void {
    if (lostAt > confirmedHealthyAt) this.unconfirmedIds.add(id);
    else this.unconfirmedIds.delete(id);
  }

  private begin(target: Target, previous: TargetStatistics | undefined): void {
    this.leaving.delete(target.id);
    this.unconfirmedIds.add(target.id);
    this.statistics.set(target.id, initialStatistics(target, previous, this.clock.now()));
  }
}
