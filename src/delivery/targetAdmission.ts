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

  /** Counts a call that is sent to a target against the rate of the target. */
  recordSent(targetId: string): void {
    const target = this.parts.catalog().targets.get(targetId);
    if (target === undefined || this.callRate(target) === Infinity) return;
    this.rateLimiter.record(targetId);
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
