import { type OwnedTarget } from '../fleet';

import { TargetState } from './targetState';

/** States of the targets owned now, and of those that moved away with calls still in flight. */
export class TargetStates {
  private readonly byId = new Map<string, TargetState>();

  /** Targets owned now. */
  owned: readonly TargetState[] = [];

  get(targetId: string): TargetState | undefined {
    return this.byId.get(targetId);
  }

  /** Takes over the list of owned targets. */
  apply(owned: readonly OwnedTarget[], now: number): void {
    const kept = new Set(owned.map((each) => each.target.target));
    for (const [id, state] of this.byId) {
      if (!kept.has(id)) state.isOwned = false;
      this.dropIfDone(state);
    }
    this.owned = owned.map((each) => this.adopt(each, now));
  }

  /** Forgets a target that is no longer owned once its last call has finished. */
  dropIfDone(state: TargetState): void {
    if (!state.isOwned && state.flights.size === 0) this.byId.delete(state.target.target);
  }

  /** Usual answer times of the owned targets, in milliseconds. */
  usualTimes(): readonly number[] {
    return this.owned.map((state) => state.times.usual);
  }

  /** True when a target that moves to this host is not usable yet. */
  comesSoon(now: number): boolean {
    return this.owned.some((state) => {
      const { usableFrom, inService } = state.owned;
      return inService && !state.isLeaving && usableFrom > now;
    });
  }

  private adopt(owned: OwnedTarget, now: number): TargetState {
    const known = this.byId.get(owned.target.target);
    if (known !== undefined) {
      known.adopt(owned, now);
      return known;
    }
    const state = new TargetState(owned, now);
    this.byId.set(owned.target.target, state);
    return state;
  }
}
