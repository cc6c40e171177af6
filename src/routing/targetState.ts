import { type InheritedState, type OwnedTarget } from '../fleet';
import { type Target } from '../sheet';

import { MovingAverage } from './movingAverage';
import { WarmUp } from './warmUp';
import { type InFlightCall } from './inFlightCall';
import { Outage } from './outage';
import { OutlierStatus } from './outlierStatus';
import { type TargetDescription } from './targetDescription';

const LOAD_REPORT_LIFETIME_MS = 1000;
const HIGH_UTILIZATION = 0.9;
// Number of calls in flight above the age limit that make a target an outlier.
const OLD_CALLS_UNTIL_OUTLIER = 2;
const OUTLIER_AGE_FACTOR = 4;
// Added to each latency threshold, since scheduling alone makes answer times of a few milliseconds
// vary by this much.
const LATENCY_JITTER_MS = 5;

/** State and statistics of a target, kept by its owner. */
export class TargetState {
  readonly inFlightCalls = new Set<InFlightCall>();

  readonly warmUp = new WarmUp();

  readonly outlierStatus = new OutlierStatus();

  readonly outage = new Outage();

  readonly answerTime = new MovingAverage();

  /** Slots kept in use after their call ended, because of quick errors and abandoned calls. */
  heldSlots = 0;

  /** False after another host has become the owner; calls in flight still count. */
  isOwned = true;

  /** True while the target reports that it is draining. */
  isDraining = false;

  /** True while the host list says that the target is leaving. */
  isListedAsLeaving = false;

  /** Consecutive answers at low load that took far longer than the median. */
  slowAnswersAtLowLoad = 0;

  /** Monotonic time of the last answer that was counted in `slowAnswersAtLowLoad`. */
  lastSlowAt = Number.NEGATIVE_INFINITY;

  /** Monotonic time of the last answer, probe or failure. */
  lastObservedAt = Number.NEGATIVE_INFINITY;

  private instance = '';

  private halvedLimitUntil = 0;

  private inherited: InheritedState | null = null;

  constructor(
    public owned: OwnedTarget,
    now: number,
  ) {
    this.configure();
    this.warmUp.turnCold(now);
    this.inherit(owned.inherited, now);
  }

  get target(): Target {
    return this.owned.target;
  }

  /** Applies the entry of the target in a new view. */
  update(owned: OwnedTarget, now: number): void {
    const returnsToService = owned.inService && !this.owned.inService;
    const hasRegainedOwnership = !this.isOwned;
    const isInUse = !hasRegainedOwnership && now >= this.owned.usableFrom;
    const hasNewAddress =
      owned.target.address !== this.target.address || owned.target.port !== this.target.port;
    this.owned = owned;
    this.isOwned = true;
    this.configure();
    if (hasRegainedOwnership) this.reset();
    if (returnsToService || hasRegainedOwnership || hasNewAddress) this.warmUp.turnCold(now);
    // A release that arrives once the target is in use reserves slots but does not reset the limit;
    // a release that the view no longer contains stays in force.
    if (isInUse || returnsToService) this.inherited = owned.inherited ?? this.inherited;
    else if (hasRegainedOwnership || owned.inherited !== null) this.inherit(owned.inherited, now);
  }

  /** Maximum number of concurrent calls, halved after a report of high load. */
  limit(now: number): number {
    const { limit } = this.warmUp;
    return now < this.halvedLimitUntil ? Math.ceil(limit / 2) : limit;
  }

  /** Slots in use: calls in flight, held slots, and calls of the previous owner. */
  load(now: number): number {
    const reserved =
      this.inherited !== null && now < this.inherited.reservedUntil
        ? this.inherited.callsInFlight
        : 0;
    return this.inFlightCalls.size + this.heldSlots + reserved;
  }

  get isLeaving(): boolean {
    return this.isDraining || this.isListedAsLeaving;
  }

  /** True when the target may receive calls at all. */
  isOpen(now: number): boolean {
    return this.isOwned && this.owned.inService && now >= this.owned.usableFrom && !this.isLeaving;
  }

  /** True when a suspect call is in flight at the target. */
  hasSuspectCall(): boolean {
    for (const inFlightCall of this.inFlightCalls)
      if (inFlightCall.call.suspect !== null) return true;
    return false;
  }

  /** Number of calls in flight that were sent to the target. */
  sentCallCount(): number {
    let sent = 0;
    for (const inFlightCall of this.inFlightCalls) if (inFlightCall.sentAt !== null) sent += 1;
    return sent;
  }

  /** Marks the target as an outlier when calls in flight are far older than the median. */
  detectOldCalls(now: number, medianMs: number): void {
    if (medianMs === 0 || this.outlierStatus.isOutlier) return;
    const ageLimitMs = OUTLIER_AGE_FACTOR * medianMs + LATENCY_JITTER_MS;
    let oldCalls = 0;
    for (const inFlightCall of this.inFlightCalls) {
      const { sentAt, answeredAt } = inFlightCall;
      if (sentAt === null || answeredAt !== null || sentAt < this.outlierStatus.changedAt) continue;
      if (now - sentAt > ageLimitMs) oldCalls += 1;
      if (oldCalls >= OLD_CALLS_UNTIL_OUTLIER) {
        this.outlierStatus.markOutlier((now - sentAt) / medianMs, now);
        return;
      }
    }
  }

  /** Applies the identity of the target's process; a changed identity makes the target cold. */
  applyInstance(instance: string | null, now: number): void {
    if (instance === null || instance === this.instance) return;
    const hasRestarted = this.instance !== '';
    this.instance = instance;
    if (!hasRestarted) return;
    this.isDraining = false;
    this.answerTime.reset();
    this.warmUp.turnCold(now);
  }

  /** Halves the limit for one second after a report of high load; a low load changes nothing. */
  applyUtilization(utilization: number | null, now: number): void {
    if (utilization !== null && utilization >= HIGH_UTILIZATION) {
      this.halvedLimitUntil = now + LOAD_REPORT_LIFETIME_MS;
    }
  }

  /**
   * State for the next owner. Once another host owns the target, calls that have not been sent can
   * no longer be sent and are not counted: such a call is routed again, and would wait at the next
   * owner for the slot that it holds here.
   */
  describe(now: number): TargetDescription {
    const countedCalls = [...this.inFlightCalls].filter(
      ({ sentAt }) => this.isOwned || sentAt !== null,
    );
    const lastDeadline = Math.max(0, ...countedCalls.map(({ call }) => call.deadline));
    const isReserved = this.inherited !== null && now < this.inherited.reservedUntil;
    const inherited = isReserved ? this.inherited!.callsInFlight : 0;
    return {
      callsInFlight: countedCalls.length + this.heldSlots + inherited,
      lastDeadline: isReserved
        ? Math.max(lastDeadline, this.inherited!.reservedUntil)
        : lastDeadline,
      limit: this.warmUp.limit,
      coldUntil: this.warmUp.coldUntil > now ? this.warmUp.coldUntil : 0,
      instance: this.instance,
    };
  }

  private configure(): void {
    const { slots, connections, cold_limit: coldLimit, cold_ms: coldMs } = this.target;
    // The other half of the connections is left to the next owner for a handover.
    const maxSlots = Math.max(1, Math.floor(connections / 2));
    this.warmUp.configure(Math.min(slots, maxSlots), coldLimit, coldMs);
  }

  private inherit(state: InheritedState | null, now: number): void {
    this.inherited = state;
    if (state === null) return;
    this.warmUp.inherit(state, now);
    this.instance = state.instance;
  }

  private reset(): void {
    this.answerTime.reset();
    this.outlierStatus.clear(0);
    this.outage.end();
    this.isDraining = false;
    this.instance = '';
  }
}
