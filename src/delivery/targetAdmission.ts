import { type Catalog, type Target } from '../catalog';
import { isUnchecked, type TargetStatistics, type TargetStatisticsTable } from '../knowledge';
import { CallRateLimiter } from '../placement';
import { type Clock } from '../runtime';

import { type TargetPreference } from './targetPool';

// By then the first health check of a new target has ended.
const FIRST_CHECK_TIME_MS = 1000;

/** Dependencies of the admission of calls to targets. */
export interface AdmissionParts {
  readonly clock: Clock;
  readonly catalog: () => Catalog;
  readonly targetStates: TargetStatisticsTable;
  /** Whether this host uses the target before others; the hosts of a large zone share them out. */
  readonly preference: TargetPreference;
  /** Calls per second that this host may send to a target, out of `rate` for all hosts. */
  readonly callShare: (target: Target, rate: number) => number;
}

/** Knows when the targets take calls of this host. */
export class TargetAdmission {
  private readonly rateLimiter: CallRateLimiter;

  constructor(private readonly parts: AdmissionParts) {
    this.rateLimiter = new CallRateLimiter(parts.clock);
  }

  /** Forgets the targets that are not in the catalog. */
  applyCatalog(catalog: Catalog): void {
    this.rateLimiter.retainTargets((target) => catalog.targets.has(target));
  }

  /** Counts a call against the rate of its target; returns whether the target has one. */
  recordPlaced(target: Target): boolean {
    const isRated = this.callRate(target) !== Infinity;
    if (isRated) this.rateLimiter.record(target.id);
    return isRated;
  }

  /** Takes back what `recordPlaced` has counted. */
  recordWithdrawn(target: Target): void {
    this.rateLimiter.withdraw(target.id);
  }

  /**
   * Why a call that was placed on `target` must not be sent to it now; null if it may be sent. The
   * target may have changed since, as a connection takes time to open. `isRated`: the call was counted
   * against the rate of the target.
   */
  withdrawal(target: Target, isRated: boolean): string | null {
    const { catalog, targetStates } = this.parts;
    const { targets, zonesOut } = catalog();
    const current = targets.get(target.id);
    if (current === undefined) return 'target was removed';
    if (current.startedAt !== target.startedAt || current.address !== target.address)
      return 'target was started again';
    if (current.state !== 'ready') return 'target is draining';
    if (zonesOut.has(current.zone)) return 'zone is out of service';
    const targetState = targetStates.get(target.id)!;
    // The call itself counts as one in flight.
    if (targetStates.isQuiet(target.id) || targetState.ownInFlight > targetState.callAllowance)
      return 'target wants no calls';
    if (this.isUnconfirmed(targetState)) return 'target may be down';
    if (!isRated && this.callRate(current) !== Infinity) return 'target limits its calls';
    return null;
  }

  /**
   * Time until this host may send a call to a target that limits its calls or wants none for now, in
   * milliseconds.
   */
  limitedForMs(target: Target): number {
    const quietForMs = this.parts.targetStates.quietForMs(target.id);
    const rate = this.callRate(target);
    if (rate === Infinity) return quietForMs;
    const delayMs = this.rateLimiter.delay(target.id, this.parts.callShare(target, rate));
    return Math.max(quietForMs, delayMs);
  }

  /**
   * Whether a target may be down: it was lost and not confirmed healthy since, or awaits the health
   * check of another host, which tells only a loss.
   */
  isUnconfirmed(targetState: TargetStatistics): boolean {
    const { clock, preference } = this.parts;
    if (!preference.has(targetState.id) && isUnchecked(targetState))
      return clock.now() - targetState.announcedAt < FIRST_CHECK_TIME_MS;
    return targetState.lostAt > targetState.confirmedHealthyAt;
  }

  /** Time until the first target of a service that is not leaving wants calls, in milliseconds. */
  quietForMs(service: string): number {
    const { targetStates } = this.parts;
    const times = this.usableTargets(service)
      .map(({ id }) => targetStates.quietForMs(id))
      .filter((time) => time !== Infinity);
    return times.length === 0 ? 0 : Math.min(...times);
  }

  /** Mean time between the calls that all targets of a service allow together, in milliseconds. */
  callIntervalMs(service: string): number {
    const { targetStates } = this.parts;
    let rate = 0;
    for (const { id } of this.usableTargets(service))
      rate += targetStates.callLimit(targetStates.get(id)!);
    return rate === 0 ? 0 : 1000 / rate;
  }

  /**
   * Calls per second that a target takes from all hosts: what it states itself, and the rate of its
   * service while it is cold. Infinity without a limit.
   */
  private callRate(target: Target): number {
    const { clock, targetStates, catalog } = this.parts;
    const targetState = targetStates.get(target.id)!;
    const stated = targetStates.callLimit(targetState);
    if (targetState.coldUntil <= clock.now()) return stated;
    return Math.min(stated, catalog().services.get(target.service)?.coldRatePerSecond ?? 0);
  }

  private usableTargets(service: string): readonly Target[] {
    const { targetsByService, zonesOut } = this.parts.catalog();
    const targets = targetsByService.get(service) ?? [];
    return targets.filter(({ state, zone }) => state === 'ready' && !zonesOut.has(zone));
  }
}
