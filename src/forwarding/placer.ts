import { Err } from 'ts-results';

import { notRun, type NotRun, type NotRunReason } from '../outcomes';
import { type Choice, type Router } from '../routing';
import { type Clock } from '../runtime';

import { type Call } from './call';
import { canBeSent } from './callBody';
import { type Placed } from './placed';
import { type PlacementFailure } from './placementFailure';
import { type PlacementState } from './placementState';

/** Why a placement is made, for the decision log. */
export type PlacementCause = 'first' | 'retry' | 'hedge';

/** What a placer needs of this host. */
export interface PlacerContext {
  readonly router: Router;
  readonly clock: Clock;
  /** Sends a call to the owner that was chosen. */
  readonly sendTo: (call: Call, choice: Choice, cause: PlacementCause) => Promise<Placed>;
  /** Takes a repeat out of the budget of the call's service. */
  readonly takeRepeat: (call: Call) => boolean;
}

// A call that four placements refused meets a fleet without room; more would only add load.
const LARGEST_PLACEMENTS = 4;

// Refusals that another owner would repeat.
const FINAL_REASONS: ReadonlySet<NotRunReason> = new Set([
  'bad-request',
  'too-large',
  'deadline',
  'duplicate',
  'key-reused',
  'crashes-targets',
]);

// Made only when needed: ts-results records a stack trace with each Err, which took 14% of the
// processor time of a call when it was made in advance.
function noTarget(): Placed {
  const outcome = notRun('no-usable-target', 'the service has no usable target');
  return Err({ outcome, target: null });
}

/** Places a call on an owner, and again on another one after each "not run". */
export class Placer {
  constructor(private readonly context: PlacerContext) {}

  async place(call: Call, state: PlacementState, cause: PlacementCause): Promise<Placed> {
    let last: Placed | null = null;
    while (state.placements < LARGEST_PLACEMENTS) {
      const choice = this.choose(call, state);
      if (choice === null) break;
      state.placements += 1;
      last = await this.placeOn(choice, call, state, cause);
      if (last.ok || last.val.outcome.kind !== 'not-run') return last;
      if (!this.mayPlaceAgain(call, last.val.outcome)) return last;
      this.ruleOut(choice, last.val, state);
    }
    return last ?? noTarget();
  }

  private async placeOn(
    choice: Choice,
    call: Call,
    state: PlacementState,
    cause: PlacementCause,
  ): Promise<Placed> {
    const owner = choice.owner.host.host;
    const placed =
      state.avoid.size === 0 ? call : { ...call, traits: { ...call.traits, avoid: state.avoid } };
    state.inUse.add(owner);
    const result = await this.context.sendTo(placed, choice, cause);
    state.inUse.delete(owner);
    return result;
  }

  private choose(call: Call, state: PlacementState): Choice | null {
    if (state.inUse.size > 0) {
      const elsewhere = new Set([...state.excluded, ...state.inUse]);
      const choice = this.context.router.choose(call.traits, elsewhere);
      if (choice !== null) return choice;
    }
    return this.context.router.choose(call.traits, state.excluded);
  }

  private mayPlaceAgain(call: Call, refusal: NotRun): boolean {
    if (FINAL_REASONS.has(refusal.reason) || call.cancellation.cancelled) return false;
    if (this.context.clock.now() >= call.traits.deadline || !canBeSent(call.body)) return false;
    // A target that refuses may be the entry of a further level, which has tried its own targets.
    return refusal.reason !== 'refused-by-target' || this.context.takeRepeat(call);
  }

  /** An owner is tried again only when one of its targets refused and it has others. */
  private ruleOut(choice: Choice, failure: PlacementFailure, state: PlacementState): void {
    if (failure.target !== null) state.avoid.add(failure.target);
    const others = choice.owner.targets.some((target) => !state.avoid.has(target.target));
    if (failure.target === null || !others) state.excluded.add(choice.owner.host.host);
  }
}
