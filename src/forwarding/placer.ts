import { Err } from 'ts-results';

import { notRun, type NotRun, type NotRunReason } from '../outcomes';
import { type Choice, type Router } from '../routing';
import { type Clock } from '../runtime';

import { type Call } from './call';
import { canBeSent } from './callBody';
import { type PlacementResult } from './placementResult';
import { type PlacementFailure } from './placementFailure';
import { type PlacementState } from './placementState';

/** Cause of a placement, for the decision log. */
export type PlacementCause = 'first' | 'retry' | 'hedge';

/** Dependencies of a placer. */
export interface PlacerContext {
  readonly router: Router;
  readonly clock: Clock;
  /** Sends a call to the chosen owner. */
  readonly dispatch: (
    call: Call,
    choice: Choice,
    cause: PlacementCause,
  ) => Promise<PlacementResult>;
  /** Acquires an extra attempt from the retry budget of the call's service; false if exhausted. */
  readonly acquireExtraAttempt: (call: Call) => boolean;
}

// After four refusals the fleet has no free slots; further placements would only add load.
const MAX_PLACEMENTS = 4;

// Refusals that any other owner would give too.
const FINAL_REFUSAL_REASONS: ReadonlySet<NotRunReason> = new Set([
  'bad-request',
  'too-large',
  'deadline',
  'duplicate',
  'key-reused',
  'crashes-targets',
]);

// Created on demand: ts-results captures a stack trace with each Err, which takes 14% of the
// processor time of a call if one is created in advance.
function noTarget(): PlacementResult {
  const outcome = notRun('no-usable-target', 'the service has no usable target');
  return Err({ outcome, target: null });
}

/** Places a call on an owner, and on another one after each "not-run". */
export class Placer {
  constructor(private readonly context: PlacerContext) {}

  async place(call: Call, state: PlacementState, cause: PlacementCause): Promise<PlacementResult> {
    let lastResult: PlacementResult | null = null;
    while (state.placements < MAX_PLACEMENTS) {
      const choice = this.choose(call, state);
      if (choice === null) break;
      state.placements += 1;
      lastResult = await this.placeOn(choice, call, state, cause);
      if (lastResult.ok || lastResult.val.outcome.kind !== 'not-run') return lastResult;
      if (!this.mayPlaceAgain(call, lastResult.val.outcome)) return lastResult;
      this.exclude(choice, lastResult.val, state);
    }
    return lastResult ?? noTarget();
  }

  private async placeOn(
    choice: Choice,
    call: Call,
    state: PlacementState,
    cause: PlacementCause,
  ): Promise<PlacementResult> {
    const owner = choice.owner.host.host;
    const callToSend =
      state.avoidedTargets.size === 0
        ? call
        : { ...call, traits: { ...call.traits, avoid: state.avoidedTargets } };
    state.activeOwners.add(owner);
    const result = await this.context.dispatch(callToSend, choice, cause);
    state.activeOwners.delete(owner);
    return result;
  }

  private choose(call: Call, state: PlacementState): Choice | null {
    if (state.activeOwners.size > 0) {
      const excludedOwners = new Set([...state.excludedOwners, ...state.activeOwners]);
      const choice = this.context.router.choose(call.traits, excludedOwners);
      if (choice !== null) return choice;
    }
    return this.context.router.choose(call.traits, state.excludedOwners);
  }

  private mayPlaceAgain(call: Call, refusal: NotRun): boolean {
    if (FINAL_REFUSAL_REASONS.has(refusal.reason) || call.cancellation.isCancelled) return false;
    if (this.context.clock.now() >= call.traits.deadline || !canBeSent(call.body)) return false;
    // The refusing target may itself call through a gateway that has already tried several targets.
    return refusal.reason !== 'refused-by-target' || this.context.acquireExtraAttempt(call);
  }

  /** Excludes the owner, unless the refusal came from a target and the owner has other targets. */
  private exclude(choice: Choice, failure: PlacementFailure, state: PlacementState): void {
    if (failure.target !== null) state.avoidedTargets.add(failure.target);
    const hasOtherTargets = choice.owner.targets.some(
      (target) => !state.avoidedTargets.has(target.target),
    );
    if (failure.target === null || !hasOtherTargets)
      state.excludedOwners.add(choice.owner.host.host);
  }
}
