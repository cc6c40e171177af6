import { match } from 'ts-pattern';

import { USUAL_PACE } from '../knowledge';
import { type Timer } from '../runtime';
import {
  type AttemptEnd,
  decideNext,
  hedgeInterval,
  type NextStep,
  type Placement,
  type RefusalReason,
  retryAfter,
  shouldHedge,
  type Waiting,
} from '../placement';

import { type RunningAttempt } from './runningAttempt';
import { type AttemptResult, type ReceivedAnswer } from './attemptResult';
import { type CallEnd } from './callEnd';
import { type CallEvent } from './callEvent';
import { type DeliveryContext } from './deliveryContext';
import { DELIVERY_EVENTS } from './events';
import { type IncomingCall } from './incomingCall';
import { Mailbox } from './mailbox';

// Without a usable target a call waits no longer than this share of its latency objective: beyond it
// the caller does better to come back at another host.
const WAIT_SHARE = 1 / 8;
// Ends of this host's own calls wake a waiting call at once; slots that other hosts free, and paces
// that recover, are looked for in this interval.
const WAIT_STEP_MS = 6;

/** The task of one call: places it, repeats it where that helps, and ends with one final answer. */
export class CallRun {
  private readonly mailbox = new Mailbox<CallEvent>();

  private readonly running = new Set<RunningAttempt>();

  private readonly used = new Set<string>();

  private timers: Timer[] = [];

  private tick: Timer | null = null;

  /** Attempts that reached a target. */
  private attempts = 0;

  private unsent = 0;

  private mayHaveRun = false;

  private failure: ReceivedAnswer | null = null;

  private failureMessage = '';

  /** Why the call is not sent, while it waits. */
  private waiting: RefusalReason | null = null;

  /** Its place among the calls that wait for the same service. */
  private placeInLine: Waiting | null = null;

  constructor(
    private readonly context: DeliveryContext,
    private readonly call: IncomingCall,
  ) {}

  /** Tells the task that its caller closed the connection. */
  callerLeft(): void {
    this.mailbox.put({ kind: 'callerLeft' });
  }

  /** Runs the call to its end. */
  async run(): Promise<CallEnd> {
    const { clock } = this.context;
    this.timers.push(
      clock.setTimer(this.call.deadline, () => this.mailbox.put({ kind: 'deadline' })),
    );
    if (this.context.crashes.isRefused(this.call)) return this.close(this.refuse('crashes'));
    let end = this.place();
    while (end === null) {
      const event = await this.mailbox.next();
      end = match(event)
        .returnType<CallEnd | null>()
        .with({ kind: 'callerLeft' }, () => ({ kind: 'callerLeft' }))
        .with({ kind: 'deadline' }, () => this.outOfTime())
        .with({ kind: 'tick' }, () => this.look())
        .with({ kind: 'ended' }, ({ attempt, result }) => this.attemptEnded(attempt, result))
        .exhaustive();
    }
    return this.close(end);
  }

  /** Sends the call, or waits, or ends it. */
  private place(): CallEnd | null {
    const placement = this.context.placer.place(this.call, this.used, true);
    this.log(placement);
    return match(placement)
      .returnType<CallEnd | null>()
      .with({ kind: 'send' }, ({ target }) => {
        this.leaveLine();
        this.send(target);
        return null;
      })
      .with({ kind: 'refuse' }, ({ reason }) => this.giveUp(reason))
      .with({ kind: 'wait' }, ({ reason }) => {
        if (!this.mayWait(reason)) return this.giveUp(reason);
        this.joinLine(reason);
        this.lookAgain(WAIT_STEP_MS);
        return null;
      })
      .exhaustive();
  }

  // How long a call waits for a slot is decided where it is placed.
  private mayWait(reason: RefusalReason): boolean {
    if (reason === 'overloaded') return true;
    const waitEnd = this.call.arrivedAt + this.call.route.latencyObjectiveMs * WAIT_SHARE;
    return this.context.clock.now() < waitEnd;
  }

  private joinLine(reason: RefusalReason): void {
    this.waiting = reason;
    if (this.placeInLine !== null) return;
    const { placer } = this.context;
    const wake = () => this.mailbox.put({ kind: 'tick' });
    this.placeInLine = { ...placer.orderOf(this.call), wake };
    placer.lineOf(this.call.service).add(this.placeInLine);
  }

  private leaveLine(): void {
    this.waiting = null;
    if (this.placeInLine === null) return;
    this.context.placer.lineOf(this.call.service).remove(this.placeInLine);
    this.placeInLine = null;
  }

  private send(targetId: string): void {
    const attempt = this.context.openAttempt(this.call, targetId, (ended, result) =>
      this.mailbox.put({ kind: 'ended', attempt: ended, result }),
    );
    if (this.used.size === 0) this.context.noteFirst(this.call.service);
    this.used.add(targetId);
    this.running.add(attempt);
    attempt.start();
    if (this.call.route.isIdempotent) this.lookAgain(hedgeInterval(this.workMs()));
  }

  private look(): CallEnd | null {
    if (this.waiting !== null) return this.place();
    if (this.running.size === 1 && this.canHedge()) this.hedge([...this.running][0]!);
    if (this.running.size > 0) this.lookAgain(hedgeInterval(this.workMs()));
    return null;
  }

  private canHedge(): boolean {
    const { route, body } = this.call;
    const isRepeatable = route.isIdempotent && (body === null || Buffer.isBuffer(body));
    return (
      isRepeatable &&
      this.used.size < route.mostAttempts &&
      !this.context.crashes.isSuspect(this.call)
    );
  }

  private hedge(first: RunningAttempt): void {
    if (first.sentAt === null) return;
    const { clock, knowledge } = this.context;
    const held = knowledge.get(first.target.id);
    const now = clock.now();
    const input = {
      elapsedMs: now - first.sentAt,
      objectiveLeftMs: this.call.arrivedAt + this.call.route.latencyObjectiveMs - now,
      workMs: this.workMs(),
      pace: held?.pace ?? USUAL_PACE,
      isLost: held === undefined || held.lostAt > first.sentAt,
    };
    if (!shouldHedge(input)) return;
    const placement = this.context.placer.place(this.call, this.used, false);
    if (placement.kind !== 'send' || placement.reason === 'onlyCold') return;
    // Without a free slot a second attempt would only lengthen the queues of a burst.
    const isWorthIt =
      placement.hasRoom && placement.expectedMs < Math.max(input.objectiveLeftMs, input.workMs * 2);
    if (!isWorthIt || !this.context.takeRepeat(this.call.service)) return;
    this.context.events.emit(DELIVERY_EVENTS.hedged, {
      call: this.call.id,
      first: first.target.id,
      ...input,
    });
    this.log(placement);
    this.send(placement.target);
  }

  private attemptEnded(attempt: RunningAttempt, result: AttemptResult): CallEnd | null {
    this.running.delete(attempt);
    if (result.end === 'answered') return { kind: 'answer', answer: result.answer! };
    if (result.end !== 'notSent') this.attempts += 1;
    else this.unsent += 1;
    if (result.end === 'failed' || result.end === 'unknown') this.mayHaveRun = true;
    if (result.answer !== null && result.end === 'failed') this.failure = result.answer;
    this.failureMessage = result.message;
    if (this.running.size > 0) return null;
    return this.next(attempt, result.end);
  }

  private next(attempt: RunningAttempt, end: AttemptEnd): CallEnd | null {
    const step = this.decide(end);
    const reason = this.reasonAfter(attempt, end);
    this.context.events.emit(DELIVERY_EVENTS.attemptFailed, {
      call: this.call.id,
      end,
      reason: this.failureMessage,
      attempts: this.attempts,
      step,
    });
    return match(step)
      .returnType<CallEnd | null>()
      .with('resend', () => this.place())
      .with('repeat', () =>
        this.context.takeRepeat(this.call.service) ? this.place() : this.giveUp(reason),
      )
      .with('finish', () => this.giveUp(reason))
      .exhaustive();
  }

  // A target that refuses while it has free slots is not overloaded.
  private reasonAfter({ target }: RunningAttempt, end: AttemptEnd): RefusalReason {
    const { knowledge } = this.context;
    const held = knowledge.get(target.id);
    const hadRoom = held !== undefined && knowledge.load(held) < target.slots;
    return end === 'notRun' && hadRoom ? 'refused' : 'overloaded';
  }

  private decide(end: AttemptEnd): NextStep {
    const { route, body, deadline } = this.call;
    const isKept = body === null || Buffer.isBuffer(body);
    if (!isKept && end !== 'notSent') return 'finish';
    if (this.context.crashes.isSuspect(this.call) && end === 'unknown') return 'finish';
    return decideNext(end, {
      isIdempotent: route.isIdempotent,
      attempts: this.attempts,
      mostAttempts: route.mostAttempts,
      unsent: this.unsent,
      leftMs: deadline - this.context.clock.now(),
      workMs: this.workMs(),
    });
  }

  /** The final answer when the call is not sent again. */
  private giveUp(reason: RefusalReason): CallEnd | null {
    if (this.running.size > 0) return null;
    if (!this.mayHaveRun) return this.refuse(reason);
    if (this.failure !== null && this.mayPassOn(this.failure)) {
      return { kind: 'answer', answer: this.failure };
    }
    return { kind: 'own', own: { kind: 'unknown', status: 502, detail: this.failureMessage } };
  }

  // To callers 408, 421, 429 and 503 mean that the call has not run, which a target's own failure
  // does not say unless it states so.
  private mayPassOn({ head }: ReceivedAnswer): boolean {
    return ![408, 421, 429, 503].includes(head.status);
  }

  private outOfTime(): CallEnd {
    if (this.failure !== null && this.running.size === 0 && this.mayPassOn(this.failure)) {
      return { kind: 'answer', answer: this.failure };
    }
    const wasSent = this.mayHaveRun || [...this.running].some((attempt) => attempt.sentAt !== null);
    if (!wasSent) return this.refuse('outOfTime');
    return { kind: 'own', own: { kind: 'unknown', status: 504, detail: 'time limit reached' } };
  }

  private refuse(reason: RefusalReason): CallEnd {
    const { clock, random, placer } = this.context;
    const input = {
      leftMs: Math.max(0, this.call.callerDeadline - clock.now()),
      workMs: this.workMs(),
      rank: placer.rankOf(this.call),
    };
    const retryAfterMs = retryAfter(reason, input, random);
    return { kind: 'own', own: { kind: 'notRun', reason, retryAfterMs } };
  }

  /** Cancels what is left of the call; attempts that only lost a race may finish. */
  private close(end: CallEnd): CallEnd {
    for (const timer of this.timers) timer.cancel();
    this.tick?.cancel();
    this.leaveLine();
    for (const attempt of this.running) {
      // An answer that nobody waits for any more is dropped at the target, unless the call may run
      // only once: then what was begun is finished.
      const isDropped =
        end.kind !== 'answer' && (this.call.route.isIdempotent || end.kind === 'own');
      if (isDropped) attempt.abort();
    }
    return end;
  }

  private workMs(): number {
    return this.context.placer.workOf(this.call);
  }

  private lookAgain(afterMs: number): void {
    const { clock } = this.context;
    this.tick?.cancel();
    this.tick = clock.setTimer(clock.now() + afterMs, () => this.mailbox.put({ kind: 'tick' }));
  }

  private log(placement: Placement): void {
    if (placement.kind === 'wait' && this.waiting !== null) return;
    const detail = this.context.placer.explain(this.call, placement);
    this.context.events.emit(DELIVERY_EVENTS.placed, {
      call: this.call.id,
      route: this.call.route.name,
      service: this.call.service,
      used: this.used.size,
      ...placement,
      ...detail,
    });
  }
}
