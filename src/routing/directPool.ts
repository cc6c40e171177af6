import { Err, Ok, type Result } from 'ts-results';

import { notRun, type NotRun } from '../outcomes';
import { type Clock, type Random } from '../runtime';
import { type Target } from '../sheet';

import { type CallTraits } from './callTraits';
import { type PoolState } from './poolState';
import { type Slot } from './slot';
import { type TargetPool } from './targetPool';

/** A target of a comparison policy with the calls of this host. */
export interface DirectTarget {
  target: Target;
  inFlight: number;
}

/** Picks a target of a non-empty list; `turn` rises by one with each call. */
export type DirectPick = (
  targets: readonly DirectTarget[],
  turn: number,
  random: Random,
) => DirectTarget;

/** All targets of a service, used without ownership and limits by the comparison policies. */
export class DirectPool implements TargetPool {
  private targets: readonly DirectTarget[] = [];

  private turn = 0;

  constructor(
    private readonly pick: DirectPick,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  setTargets(targets: readonly Target[]): void {
    const known = new Map(this.targets.map((each) => [each.target.target, each]));
    this.targets = targets.map((target) => {
      const direct = known.get(target.target) ?? { target, inFlight: 0 };
      direct.target = target;
      return direct;
    });
  }

  acquire(call: CallTraits): Promise<Result<Slot, NotRun>> {
    if (this.targets.length === 0) {
      return Promise.resolve(Err(notRun('no-usable-target', 'the service has no target')));
    }
    this.turn += 1;
    return Promise.resolve(
      Ok(this.slotOf(this.pick(this.targets, this.turn, this.random), call.deadline)),
    );
  }

  state(): PoolState {
    return {
      limit: this.targets.reduce((sum, { target }) => sum + target.slots, 0),
      inFlight: this.targets.reduce((sum, { inFlight }) => sum + inFlight, 0),
      queued: 0,
      medianMs: 0,
    };
  }

  private slotOf(direct: DirectTarget, deadline: number): Slot {
    direct.inFlight += 1;
    return {
      target: direct.target,
      reason: 'comparison policy',
      candidates: this.targets.length,
      mayLeave: () =>
        this.clock.now() < deadline ? Ok.EMPTY : Err(notRun('deadline', 'the deadline has passed')),
      answered: () => {},
      finish: () => {
        direct.inFlight -= 1;
      },
    };
  }
}
