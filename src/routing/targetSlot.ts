import { Err, Ok, type Result } from 'ts-results';

import { notRun, type NotRun } from '../outcomes';
import { type Target } from '../sheet';

import { type AttemptResult } from './attemptResult';
import { type InFlightCall } from './inFlightCall';
import { type PoolContext } from './poolContext';
import { type Slot } from './slot';
import { type TargetState } from './targetState';

/** A slot of an owned target. */
export class TargetSlot implements Slot {
  readonly target: Target;

  constructor(
    private readonly state: TargetState,
    private readonly inFlightCall: InFlightCall,
    readonly reason: string,
    readonly candidates: number,
    private readonly context: PoolContext,
    private readonly onFinished: (inFlightCall: InFlightCall, result: AttemptResult) => void,
  ) {
    this.target = state.target;
  }

  maySend(): Result<void, NotRun> {
    const { state, inFlightCall, context } = this;
    const now = context.clock.now();
    context.invariants.check(!inFlightCall.isFinished, 'a finished call is not sent');
    if (!context.viewIsCurrent()) return Err(notRun('view-expired', 'this host is cut off'));
    if (now >= inFlightCall.call.deadline)
      return Err(notRun('deadline', 'the deadline has passed'));
    if (!state.isOpen(now) || this.hasNewAddress()) {
      return Err(notRun('no-usable-target', `target ${this.target.target} is no longer usable`));
    }
    if (inFlightCall.sentAt === null && state.sentCallCount() >= state.warmUp.limit) {
      return Err(notRun('overloaded', `target ${this.target.target} became cold`));
    }
    inFlightCall.sentAt ??= now;
    return Ok.EMPTY;
  }

  private hasNewAddress(): boolean {
    const { address, port } = this.state.target;
    return address !== this.target.address || port !== this.target.port;
  }

  recordAnswerHead(): void {
    this.inFlightCall.answeredAt ??= this.context.clock.now();
  }

  finish(result: AttemptResult): void {
    this.context.invariants.check(!this.inFlightCall.isFinished, 'a slot is released only once');
    this.inFlightCall.isFinished = true;
    this.onFinished(this.inFlightCall, result);
  }
}
