import { Err, Ok, type Result } from 'ts-results';

import { notRun, type NotRun } from '../outcomes';
import { type Clock, type Random } from '../runtime';
import { type Target } from '../sheet';

import { type CallTraits } from './callTraits';
import { type PoolState } from './poolState';
import { type Slot } from './slot';
import { type TargetPool } from './targetPool';

/** A target of a comparison policy with the number of calls that this host has in flight there. */
export interface DirectTarget {
  target: Target;
  inFlight: number;
}

/** Picks a target from a non-empty list; `callNumber` rises by one with each call. */
export type DirectPick = (
  targets: readonly DirectTarget[],
  callNumber: number,
  random: Random,
) => DirectTarget;

/** Pool of the comparison policies: all targets of a service, without ownership or limits. */
export class DirectPool implements TargetPool {
  private targets: readonly DirectTarget[] = [];

  private callNumber = 0;

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
    this.callNumber += 1;
    return Promise.resolve(
      Ok(this.createSlot(this.pick(this.targets, this.callNumber, this.random), call.deadline)),
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

  private createSlot(direct: DirectTarget, deadline: number): Slot {
    direct.inFlight += 1;
    return {
      target: direct.target,
      reason: 'comparison policy',
      candidates: this.targets.length,
      maySend: () =>
        this.clock.now() < deadline ? Ok.EMPTY : Err(notRun('deadline', 'the deadline has passed')),
      recordAnswerHead: () => {},
      finish: () => {
        direct.inFlight -= 1;
      },
    };
  }
}
