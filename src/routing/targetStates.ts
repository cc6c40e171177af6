import { type OwnedTarget } from '../fleet';

import { TargetState } from './targetState';

/** States of the owned targets, and of former ones that still have calls in flight. */
export class TargetStates {
  private readonly byId = new Map<string, TargetState>();

  /** States of the targets that this host owns now. */
  owned: readonly TargetState[] = [];

  get(targetId: string): TargetState | undefined {
    return this.byId.get(targetId);
  }

  /** Applies a new list of owned targets. */
  apply(owned: readonly OwnedTarget[], now: number): void {
    const ownedIds = new Set(owned.map((each) => each.target.target));
    for (const [id, state] of this.byId) {
      if (!ownedIds.has(id)) state.isOwned = false;
      this.dropIfUnused(state);
    }
    this.owned = owned.map((each) => this.addOrUpdate(each, now));
  }

  /** Removes a target that is no longer owned and has no calls in flight. */
  dropIfUnused(state: TargetState): void {
    if (!state.isOwned && state.inFlightCalls.size === 0) this.byId.delete(state.target.target);
  }

  /** Average answer times of the owned targets, in milliseconds. */
  averageAnswerTimes(): readonly number[] {
    return this.owned.map((state) => state.answerTime.value);
  }

  /** True when a target is being handed over to this host and is not usable yet. */
  hasPendingHandover(now: number): boolean {
    return this.owned.some((state) => {
      const { usableFrom, inService } = state.owned;
      return inService && !state.isLeaving && usableFrom > now;
    });
  }

  private addOrUpdate(owned: OwnedTarget, now: number): TargetState {
    const known = this.byId.get(owned.target.target);
    if (known !== undefined) {
      known.update(owned, now);
      return known;
    }
    const state = new TargetState(owned, now);
    this.byId.set(owned.target.target, state);
    return state;
  }
}
