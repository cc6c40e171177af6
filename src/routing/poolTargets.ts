import { type OwnedTarget } from '../fleet';

import { type PoolContext } from './poolContext';
import { type PoolState } from './poolState';
import { ServiceMedian } from './serviceMedian';
import { groupTargets, type TargetGroups } from './targetChoice';
import { TargetStates } from './targetStates';
import { type TargetState } from './targetState';

// Interval of the check for calls that are too old; other state changes regroup at once.
const GROUPS_LIFETIME_MS = 5;

function hasFreeSlot(state: TargetState, now: number): boolean {
  return state.load(now) < state.limit(now);
}

/** A value that changes whenever the group of a target may change. */
function groupingKey(state: TargetState, now: number): number {
  if (!state.isOpen(now)) return -2;
  return state.outage.isActive ? -1 : state.outlierStatus.severity;
}

/** The targets of a pool, grouped by which calls they may receive. */
export class PoolTargets {
  readonly states = new TargetStates();

  readonly median = new ServiceMedian();

  private cachedGroups: TargetGroups | null = null;

  private groupsValidUntil = 0;

  constructor(private readonly context: PoolContext) {}

  apply(owned: readonly OwnedTarget[], now: number): void {
    this.states.apply(owned, now);
    this.cachedGroups = null;
  }

  /** Discards the cached groups, so that they are computed again on next use. */
  invalidateGroups(): void {
    this.cachedGroups = null;
  }

  /** Runs `change`, and discards the cached groups when the group of the target may differ. */
  update(state: TargetState, now: number, change: () => void): void {
    const before = groupingKey(state, now);
    change();
    if (groupingKey(state, now) !== before) this.cachedGroups = null;
  }

  groups(now: number): TargetGroups {
    if (this.cachedGroups !== null && now < this.groupsValidUntil) return this.cachedGroups;
    const medianMs = this.medianMs(now);
    const open = this.states.owned.filter((state) => state.isOpen(now));
    for (const state of open) state.detectOldCalls(now, medianMs);
    this.cachedGroups = groupTargets(open);
    this.groupsValidUntil = now + GROUPS_LIFETIME_MS;
    return this.cachedGroups;
  }

  medianMs(now: number): number {
    return this.median.value(() => this.states.averageAnswerTimes(), now);
  }

  /** Number of slots that calls of this rank may hold. */
  limitFor(rank: number, now: number): number {
    const ranks = this.context.ranks();
    const limit = this.groups(now).inRotation.reduce((sum, state) => sum + state.limit(now), 0);
    if (ranks.isTop(rank)) return limit;
    return Math.max(1, Math.floor(limit * (1 - ranks.reservedShare)));
  }

  /** True when some target may receive a call now, trial calls included. */
  hasFreeSlot(now: number): boolean {
    const { inRotation, ejected, unreachable } = this.groups(now);
    return (
      inRotation.some((state) => hasFreeSlot(state, now)) ||
      ejected.some((state) => state.outlierStatus.isTrialDue(now) && hasFreeSlot(state, now)) ||
      unreachable.some((state) => state.outage.isTrialDue(now) && hasFreeSlot(state, now))
    );
  }

  /** True when a target that is not an outlier has a free slot. */
  hasFreeHealthySlot(now: number): boolean {
    const { inRotation } = this.groups(now);
    return inRotation.some((state) => !state.outlierStatus.isOutlier && hasFreeSlot(state, now));
  }

  /** True when no target is expected to accept a call soon. */
  isUnavailable(now: number): boolean {
    const { inRotation, unreachable } = this.groups(now);
    if (inRotation.length > 0 || this.states.hasPendingHandover(now)) return false;
    return unreachable.every((state) => state.outage.isConfirmed);
  }

  /** Load of the targets that are not outliers. */
  load(now: number): Omit<PoolState, 'queued'> {
    let limit = 0;
    let inFlight = 0;
    for (const state of this.groups(now).inRotation) {
      if (state.outlierStatus.isOutlier) continue;
      limit += state.limit(now);
      inFlight += state.load(now);
    }
    return { limit, inFlight, medianMs: this.medianMs(now) };
  }
}
