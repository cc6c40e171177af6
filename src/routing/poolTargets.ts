import { type OwnedTarget } from '../fleet';

import { type PoolContext } from './poolContext';
import { type PoolState } from './poolState';
import { ServiceMedian } from './serviceMedian';
import { groupTargets, type TargetGroups } from './targetChoice';
import { TargetStates } from './targetStates';
import { type TargetState } from './targetState';

// Suspicion from the age of calls is judged this often; other changes regroup at once.
const GROUPING_MS = 5;

function isFree(state: TargetState, now: number): boolean {
  return state.load(now) < state.limit(now);
}

/** What decides the group of a target. */
function standing(state: TargetState, now: number): number {
  if (!state.isOpen(now)) return -2;
  return state.outage.active ? -1 : state.suspicion.degree;
}

/** The targets of a pool, grouped by the calls that they may be given. */
export class PoolTargets {
  readonly states = new TargetStates();

  readonly median = new ServiceMedian();

  private grouped: TargetGroups | null = null;

  private groupedUntil = 0;

  constructor(private readonly context: PoolContext) {}

  apply(owned: readonly OwnedTarget[], now: number): void {
    this.states.apply(owned, now);
    this.grouped = null;
  }

  /** Makes the next look at the groups compute them anew. */
  regroup(): void {
    this.grouped = null;
  }

  /** Runs `change`, and regroups when it changed the group of the target. */
  changing(state: TargetState, now: number, change: () => void): void {
    const before = standing(state, now);
    change();
    if (standing(state, now) !== before) this.grouped = null;
  }

  groups(now: number): TargetGroups {
    if (this.grouped !== null && now < this.groupedUntil) return this.grouped;
    const medianMs = this.medianMs(now);
    const open = this.states.owned.filter((state) => state.isOpen(now));
    for (const state of open) state.judgeAges(now, medianMs);
    this.grouped = groupTargets(open);
    this.groupedUntil = now + GROUPING_MS;
    return this.grouped;
  }

  medianMs(now: number): number {
    return this.median.value(() => this.states.usualTimes(), now);
  }

  /** Slots that calls of this rank may hold. */
  limitFor(rank: number, now: number): number {
    const ranks = this.context.ranks();
    const limit = this.groups(now).trusted.reduce((sum, state) => sum + state.limit(now), 0);
    if (ranks.isTop(rank)) return limit;
    return Math.max(1, Math.floor(limit * (1 - ranks.reservedShare)));
  }

  /** True when some target may be given a call now. */
  hasRoom(now: number): boolean {
    const { trusted, suspected, out } = this.groups(now);
    return (
      trusted.some((state) => isFree(state, now)) ||
      suspected.some((state) => state.suspicion.trialIsDue(now) && isFree(state, now)) ||
      out.some((state) => state.outage.trialIsDue(now) && isFree(state, now))
    );
  }

  /** True when a target that is not suspected has a free slot. */
  hasTrustedRoom(now: number): boolean {
    const { trusted } = this.groups(now);
    return trusted.some((state) => !state.suspicion.active && isFree(state, now));
  }

  /** True when no target can be expected to run a call soon. */
  isLost(now: number): boolean {
    const { trusted, out } = this.groups(now);
    if (trusted.length > 0 || this.states.comesSoon(now)) return false;
    return out.every((state) => state.outage.confirmed);
  }

  /** Load of the targets that are not suspected. */
  load(now: number): Omit<PoolState, 'queued'> {
    let limit = 0;
    let inFlight = 0;
    for (const state of this.groups(now).trusted) {
      if (state.suspicion.active) continue;
      limit += state.limit(now);
      inFlight += state.load(now);
    }
    return { limit, inFlight, medianMs: this.medianMs(now) };
  }
}
