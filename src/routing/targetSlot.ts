import { Err, Ok, type Result } from 'ts-results';

import { notRun, type NotRun } from '../outcomes';
import { type Target } from '../sheet';

import { type AttemptResult } from './attemptResult';
import { type Flight } from './flight';
import { type PoolContext } from './poolContext';
import { type Slot } from './slot';
import { type TargetState } from './targetState';

/** A slot of an owned target. */
export class TargetSlot implements Slot {
  readonly target: Target;

  constructor(
    private readonly state: TargetState,
    private readonly flight: Flight,
    readonly reason: string,
    readonly candidates: number,
    private readonly context: PoolContext,
    private readonly finished: (flight: Flight, result: AttemptResult) => void,
  ) {
    this.target = state.target;
  }

  mayLeave(): Result<void, NotRun> {
    const { state, flight, context } = this;
    const now = context.clock.now();
    context.invariants.check(!flight.finished, 'a finished call does not leave');
    if (!context.viewIsCurrent()) return Err(notRun('view-expired', 'this host is cut off'));
    if (now >= flight.call.deadline) return Err(notRun('deadline', 'the deadline has passed'));
    if (!state.isOpen(now) || this.hasMoved()) {
      return Err(notRun('no-usable-target', `target ${this.target.target} is no longer usable`));
    }
    if (flight.sentAt === null && state.sentCalls() >= state.ramp.limit) {
      return Err(notRun('overloaded', `target ${this.target.target} became cold`));
    }
    flight.sentAt ??= now;
    return Ok.EMPTY;
  }

  private hasMoved(): boolean {
    const { address, port } = this.state.target;
    return address !== this.target.address || port !== this.target.port;
  }

  answered(): void {
    this.flight.answeredAt ??= this.context.clock.now();
  }

  finish(result: AttemptResult): void {
    this.context.invariants.check(!this.flight.finished, 'a slot is finished once');
    this.flight.finished = true;
    this.finished(this.flight, result);
  }
}
