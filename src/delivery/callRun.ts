import { match } from 'ts-pattern';

import { USUAL_PACE_PERCENT } from '../knowledge';
import { type Timer } from '../runtime';
import {
  type AttemptOutcome,
  hedgeRecheckMs,
  type Placement,
  type RefusalReason,
  retryAfter,
  shouldHedge,
  isUnlikelyToAnswer,
  type QueuedCall,
} from '../placement';

import { type RunningAttempt } from './runningAttempt';
import { AttemptHistory } from './attemptHistory';
import { type AttemptResult } from './attemptResult';
import { type CallEnd } from './callEnd';
import { type CallEvent } from './callEvent';
import { type DeliveryContext } from './deliveryContext';
import { DELIVERY_EVENTS } from './events';
import { type IncomingCall } from './incomingCall';
import { Mailbox } from './mailbox';
import { staleKeys } from './tenantAnswers';

// A call without a usable target waits for at most this share of its latency objective. After that,
// a retry by the caller at another host has the better chance.
const MAX_WAIT_OBJECTIVE_SHARE = 1 / 8;
// The first health check of a new target ends within this time.
const FIRST_CHECK_WAIT_MS = 250;
// The end of a call of this host wakes a waiting call at once; slots freed by other hosts and
// recovered paces are noticed by rechecks at this interval.
const RECHECK_INTERVAL_MS = 6;
// A call with slack loses nothing by the longer interval, and many of them may wait at once.
const SLACK_RECHECK_INTERVAL_MS = 25;

/** The task of one call: places it, hedges and retries it, and ends with one final answer. */
export class CallRun {
  private readonly mailbox = new Mailbox<CallEvent>();

  private readonly runningAttempts = new Set<RunningAttempt>();

  private readonly triedTargets = new Set<string>();

  /** Monotonic time at which the call could first be placed. */
  private readonly placeableSince: number;

  private timers: Timer[] = [];

  private recheckTimer: Timer | null = null;

  private readonly history: AttemptHistory;

  /** Why the call waits; null while it does not. */
  private waitReason: RefusalReason | null = null;

  /** Whether the call adds to the retry budget of its service. */
  private isCounted = false;

  /** Whether the call has left a free slot to urgent calls. */
  private hasYielded = false;

  private isFinished = false;

  /** Whether a target may have got the call; known when it has ended. */
  private isSent = false;

  /** Entry of the call in the wait queue of its service. */
  private queueEntry: QueuedCall | null = null;

  constructor(
    private readonly context: DeliveryContext,
    private readonly call: IncomingCall,
  ) {
    this.placeableSince = context.clock.now();
    this.history = new AttemptHistory(call);
  }

  /** Ends the task because the caller has closed the connection. */
  callerLeft(): void {
    this.mailbox.put({ kind: 'callerLeft' });
  }

  /** Ends the task with its final answer because the host stops. */
  endNow(): void {
    this.mailbox.put({ kind: 'deadline' });
  }

  /** Whether the call, which has ended, may have been sent to a target. */
  wasSent(): boolean {
    return this.isSent;
  }

  /** Runs the call and resolves to its final result. */
  async run(): Promise<CallEnd> {
    try {
      return await this.runToEnd();
    } catch (error) {
      // What it leaves in the queue or at a target would count against other calls for good.
      this.finish({ kind: 'own', own: { kind: 'unknown', status: 502, detail: String(error) } });
      throw error;
    }
  }

  private async runToEnd(): Promise<CallEnd> {
    const { clock } = this.context;
    this.timers.push(
      clock.setTimer(this.call.deadline, () => this.mailbox.put({ kind: 'deadline' })),
    );
    let end = this.place();
    while (end === null) {
      const event = await this.mailbox.next();
      end = match(event)
        .returnType<CallEnd | null>()
        .with({ kind: 'callerLeft' }, () => ({ kind: 'callerLeft' }))
        .with({ kind: 'deadline' }, () => this.handleDeadline())
        .with({ kind: 'tick' }, () => this.recheck())
        .with({ kind: 'ended' }, ({ attempt, result }) => this.handleAttemptEnd(attempt, result))
        .exhaustive();
    }
    return this.finish(end);
  }

  /** Sends the call, puts it into the wait queue, or ends it. */
  private place(): CallEnd | null {
    if (this.call.deadline > this.context.stopDeadline())
      return this.finishWithoutRetry('stopping');
    if (!this.mayUseKey()) return this.finishWithoutRetry('staleKeys');
    if (this.context.crashes.isRefused(this.call)) return this.finishWithoutRetry('crashes');
    const placement = this.context.placer.place(this.call, this.triedTargets, true);
    this.logPlacement(placement);
    return match(placement)
      .returnType<CallEnd | null>()
      .with({ kind: 'send' }, ({ target }) => {
        this.recordPlaced();
        this.startAttempt(target);
        return null;
      })
      .with({ kind: 'refuse' }, ({ reason }) => this.finishWithoutRetry(reason))
      .with({ kind: 'wait' }, ({ reason }) => {
        if (!this.mayWait(reason)) return this.finishWithoutRetry(reason);
        this.joinQueue(reason);
        const hasSlack = this.context.placer.hasSlack(this.call);
        this.scheduleRecheck(hasSlack ? SLACK_RECHECK_INTERVAL_MS : RECHECK_INTERVAL_MS);
        return null;
      })
      .exhaustive();
  }

  private mayUseKey(): boolean {
    return this.call.tenant === null || this.context.keys.mayUseKeys();
  }

  // The placement itself limits the wait of a call for a slot of an overloaded target.
  private mayWait(reason: RefusalReason): boolean {
    if (reason === 'overloaded' || reason === 'yielding') return true;
    const usualWaitMs = this.call.route.latencyObjectiveMs * MAX_WAIT_OBJECTIVE_SHARE;
    const waitMs =
      reason === 'unchecked' ? Math.max(usualWaitMs, FIRST_CHECK_WAIT_MS) : usualWaitMs;
    return this.context.clock.now() < this.placeableSince + waitMs;
  }

  private joinQueue(reason: RefusalReason): void {
    if (reason === 'yielding' && !this.hasYielded) this.context.recordYield(this.call.service);
    if (reason === 'yielding') this.hasYielded = true;
    this.waitReason = reason;
    if (this.queueEntry !== null) return;
    const { placer } = this.context;
    const wake = () => this.mailbox.put({ kind: 'tick' });
    this.queueEntry = { ...placer.queueOrderOf(this.call), wake };
    placer.waitQueueOf(this.call.service).add(this.queueEntry);
  }

  private leaveQueue(): void {
    this.waitReason = null;
    if (this.queueEntry === null) return;
    this.context.placer.waitQueueOf(this.call.service).remove(this.queueEntry);
    this.queueEntry = null;
  }

  private recordPlaced(): void {
    const { placer } = this.context;
    if (placer.isDue(this.call)) this.context.recordTurn(this.call.service);
    this.leaveQueue();
    placer.recordPlaced(this.call);
  }

  private startAttempt(targetId: string): void {
    const attempt = this.context.openAttempt(this.call, targetId, (ended, result) => {
      if (this.isFinished) result.answer?.rest?.cancel();
      else this.mailbox.put({ kind: 'ended', attempt: ended, result });
    });
    if (!this.isCounted) this.context.recordFirstAttempt(this.call.service);
    this.isCounted = true;
    this.context.placer.recordSent(this.call);
    this.triedTargets.add(targetId);
    this.runningAttempts.add(attempt);
    attempt.start();
    if (this.call.route.isIdempotent) this.scheduleRecheck(hedgeRecheckMs(this.workMs()));
  }

  private recheck(): CallEnd | null {
    if (this.waitReason !== null) return this.place();
    if (this.runningAttempts.size === 1 && this.canHedge())
      this.hedge([...this.runningAttempts][0]!);
    if (this.runningAttempts.size > 0) this.scheduleRecheck(hedgeRecheckMs(this.workMs()));
    return null;
  }

  private canHedge(): boolean {
    const { route, body } = this.call;
    const isRetryable = route.isIdempotent && (body === null || Buffer.isBuffer(body));
    return (
      isRetryable &&
      this.context.mayHedge() &&
      this.mayUseKey() &&
      this.triedTargets.size < route.mostAttempts &&
      !this.context.crashes.isSuspect(this.call)
    );
  }

  private hedge(first: RunningAttempt): void {
    if (first.sentAt === null) return;
    const { clock, targetStates } = this.context;
    const targetState = targetStates.get(first.target.id);
    const now = clock.now();
    const input = {
      elapsedMs: now - first.sentAt,
      objectiveLeftMs: this.call.arrivedAt + this.call.route.latencyObjectiveMs - now,
      workMs: this.workMs(),
      pace: targetState?.pace ?? USUAL_PACE_PERCENT,
      isLost: targetState === undefined || targetState.lostAt > first.sentAt,
    };
    if (!shouldHedge(input)) return;
    const placement = this.context.placer.place(this.call, this.triedTargets, false);
    if (placement.kind !== 'send' || placement.reason === 'onlyCold') return;
    // During a burst a hedge without a free slot would only lengthen the queues.
    const hasSlot = placement.hasRoom || (placement.hasFreeSlot && isUnlikelyToAnswer(input));
    const isBeneficial =
      hasSlot && placement.expectedMs < Math.max(input.objectiveLeftMs, input.workMs * 2);
    if (!isBeneficial || !this.context.acquireRetry(this.call.service)) return;
    this.context.events.emit(DELIVERY_EVENTS.hedged, {
      call: this.call.id,
      first: first.target.id,
      ...input,
    });
    this.logPlacement(placement);
    this.startAttempt(placement.target);
  }

  private handleAttemptEnd(attempt: RunningAttempt, result: AttemptResult): CallEnd | null {
    this.runningAttempts.delete(attempt);
    if (result.end === 'answered') return { kind: 'answer', answer: result.answer! };
    if (result.end === 'withdrawn') this.takeBack(attempt);
    else this.history.record(result);
    if (this.runningAttempts.size > 0) return null;
    return this.retryOrFinish(attempt, result);
  }

  // The call may be sent to the same target later, and has used no retry.
  private takeBack({ target }: RunningAttempt): void {
    this.triedTargets.delete(target.id);
    const wasSent = [...this.runningAttempts].some(({ sentAt }) => sentAt !== null);
    if (wasSent || this.history.sentAttempts() > 0) this.context.returnRetry(this.call.service);
  }

  private retryOrFinish(attempt: RunningAttempt, result: AttemptResult): CallEnd | null {
    const { end, message } = result;
    const step = this.history.nextStep(end, {
      leftMs: this.call.deadline - this.context.clock.now(),
      workMs: this.workMs(),
      isSuspect: this.context.crashes.isSuspect(this.call),
    });
    const reason = this.refusalReasonAfter(attempt, end);
    this.context.events.emit(DELIVERY_EVENTS.attemptFailed, {
      call: this.call.id,
      end,
      reason: message,
      attempts: this.history.sentAttempts(),
      step,
    });
    return match(step)
      .returnType<CallEnd | null>()
      .with('resend', () => this.place())
      .with('repeat', () =>
        this.context.acquireRetry(this.call.service)
          ? this.place()
          : this.finishWithoutRetry(reason),
      )
      .with('finish', () => this.finishWithoutRetry(reason))
      .exhaustive();
  }

  // A target that refuses a call while it has free slots is not overloaded.
  private refusalReasonAfter({ target }: RunningAttempt, end: AttemptOutcome): RefusalReason {
    const { targetStates } = this.context;
    const targetState = targetStates.get(target.id);
    const hadFreeSlots = targetState !== undefined && targetStates.load(targetState) < target.slots;
    return end === 'notRun' && hadFreeSlots ? 'refused' : 'overloaded';
  }

  /** The final result of a call that is not sent again; null while another attempt still runs. */
  private finishWithoutRetry(reason: RefusalReason | 'staleKeys'): CallEnd | null {
    if (this.runningAttempts.size > 0) return null;
    const end = this.history.end();
    if (end !== null) return end;
    return reason === 'staleKeys' ? this.refuseStaleKeys() : this.refuse(reason);
  }

  private refuseStaleKeys(): CallEnd {
    const { keys } = this.context;
    keys.requestProof();
    return { kind: 'own', own: staleKeys(keys) };
  }

  private handleDeadline(): CallEnd {
    const running = [...this.runningAttempts];
    const hasSent = running.some(({ sentAt }) => sentAt !== null);
    return this.history.endAtDeadline(running.length > 0, hasSent) ?? this.refuse('outOfTime');
  }

  private refuse(reason: RefusalReason): CallEnd {
    const { clock, random, placer } = this.context;
    const input = {
      leftMs: Math.max(0, this.call.callerDeadline - clock.now()),
      workMs: this.workMs(),
      rank: placer.rankOf(this.call),
      callIntervalMs: reason === 'limited' ? placer.admission.callIntervalMs(this.call.service) : 0,
      quietForMs: reason === 'limited' ? placer.admission.quietForMs(this.call.service) : 0,
    };
    const retryAfterMs = retryAfter(reason, input, random);
    return { kind: 'own', own: { kind: 'notRun', reason, retryAfterMs } };
  }

  /** Cancels timers and attempts of the call; an attempt that lost to a hedge may finish. */
  private finish(end: CallEnd): CallEnd {
    this.isFinished = true;
    // An attempt that still runs may be sent later.
    this.isSent =
      end.kind === 'answer' || this.runningAttempts.size > 0 || this.history.sentAttempts() > 0;
    for (const event of this.mailbox.drain())
      if (event.kind === 'ended') event.result.answer?.rest?.cancel();
    for (const timer of this.timers) timer.cancel();
    this.recheckTimer?.cancel();
    this.leaveQueue();
    for (const attempt of this.runningAttempts) {
      // An attempt whose answer is no longer awaited is aborted. When the caller of a non-idempotent
      // call has left, the attempt continues, so that its work is completed.
      const mustAbort =
        end.kind !== 'answer' && (this.call.route.isIdempotent || end.kind === 'own');
      if (mustAbort) attempt.abort();
    }
    return end;
  }

  private workMs(): number {
    return this.context.placer.usualWorkMs(this.call);
  }

  private scheduleRecheck(afterMs: number): void {
    const { clock } = this.context;
    this.recheckTimer?.cancel();
    this.recheckTimer = clock.setTimer(clock.now() + afterMs, () =>
      this.mailbox.put({ kind: 'tick' }),
    );
  }

  private logPlacement(placement: Placement): void {
    if (placement.kind === 'wait' && this.waitReason !== null) return;
    const detail = this.context.placer.explain(this.call, placement);
    this.context.events.emit(DELIVERY_EVENTS.placed, {
      call: this.call.id,
      route: this.call.route.name,
      service: this.call.service,
      tenant: this.call.tenant?.name,
      used: this.triedTargets.size,
      ...placement,
      ...detail,
    });
  }
}
