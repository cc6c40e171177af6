import { type Catalog, type Target } from '../catalog';
import {
  type LeavingTarget,
  type TargetStatisticsTable,
  type TargetReport,
  type ObservationKind,
  USUAL_PACE_PERCENT,
} from '../knowledge';
import { type EventSink } from '../logging';
import { type RetryBudgetLimits, RetryBudget } from '../placement';
import { type Clock, type Random, type Timer } from '../runtime';

import { type AnswerHead } from './answerHead';
import { type TargetLoad } from './answerMetadata';
import { Attempt } from './attempt';
import { type AttemptObserver } from './attemptObserver';
import { type AttemptResult } from './attemptResult';
import { type CallProtocol } from './callProtocol';
import { ConnectionTable } from './connectionTable';
import { type CrashGuard } from './crashGuard';
import { type DeliveryContext } from './deliveryContext';
import { DELIVERY_EVENTS } from './events';
import { type IncomingCall } from './incomingCall';
import { MemoryAccount } from './memoryAccount';
import { type Placer } from './placer';
import { type RunningAttempt } from './runningAttempt';

// An attempt that is still running this long after the deadline of its call is aborted.
const ABORT_GRACE_MS = 300;

// A call that ends frees one slot, but the first call in the wait queue may be unable to use it.
const CALLS_WOKEN_PER_END = 2;

interface PriorTargetState {
  readonly pace: number;
  readonly load: number;
}

interface StatedByTarget {
  readonly load: TargetLoad | null;
  readonly coldLeft: number | null;
  readonly callLimit: number | null;
}

const NOTHING_STATED: StatedByTarget = { load: null, coldLeft: null, callLimit: null };

/** Metrics that delivery records. */
export interface DeliveryCounters {
  attempt(service: string): void;
  retry(service: string): void;
  connection(): void;
  attemptTime(service: string, milliseconds: number): void;
}

/** Dependencies of delivery. */
export interface DeliveryParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventSink;
  readonly protocol: CallProtocol;
  readonly targetStates: TargetStatisticsTable;
  readonly placer: Placer;
  readonly crashes: CrashGuard;
  readonly catalog: () => Catalog;
  /** Monotonic time by which the last answer must be sent; Infinity unless the host is stopping. */
  readonly stopDeadline: () => number;
  readonly retryBudgetLimits: RetryBudgetLimits;
  /** Upper bound of the number of hosts that share the slack of the retry budgets. */
  readonly hostCount: () => number;
  /** Receives the observations that this host makes of targets. */
  readonly onReport: (report: TargetReport) => void;
  readonly onUnexpectedClose: (target: string) => void;
  /** Called when an answer is the first to say that a target is leaving. */
  readonly onLeaving: (target: LeavingTarget) => void;
  readonly counters: DeliveryCounters;
  /** Bounds the bytes of answers; by default they have no common bound. */
  readonly memory?: MemoryAccount;
  /** Transmits a call to a target; by default over the connections of this host. */
  readonly transmit?: Transmit;
}

/** Creates an attempt, which its user starts. */
export type Transmit = (
  call: IncomingCall,
  target: Target,
  observer: AttemptObserver,
) => RunningAttempt;

/** Opens attempts and records what they show about the targets. */
export class Delivery implements DeliveryContext {
  readonly clock: Clock;

  readonly random: Random;

  readonly events: EventSink;

  readonly targetStates: TargetStatisticsTable;

  readonly placer: Placer;

  readonly crashes: CrashGuard;

  readonly stopDeadline: () => number;

  private readonly connections: ConnectionTable;

  private readonly startedAt: number;

  private readonly transmit: Transmit;

  /** Targets whose unreadable limit was logged. */
  private readonly targetsWithUnreadableLimit = new Set<string>();

  private readonly retryBudgets = new Map<string, RetryBudget>();

  constructor(private readonly parts: DeliveryParts) {
    this.clock = parts.clock;
    this.startedAt = parts.clock.now();
    this.random = parts.random;
    this.events = parts.events;
    this.targetStates = parts.targetStates;
    this.placer = parts.placer;
    this.crashes = parts.crashes;
    this.stopDeadline = parts.stopDeadline;
    this.connections = new ConnectionTable(parts.clock, {
      onUnexpectedClose: (target) => this.parts.onUnexpectedClose(target),
      onOpened: () => parts.counters.connection(),
    });
    const memory = parts.memory ?? new MemoryAccount(Infinity);
    this.transmit =
      parts.transmit ??
      ((call, target, observer) =>
        new Attempt(
          call,
          target,
          parts.protocol,
          this.connections.of(target),
          this.clock,
          observer,
          memory.open(),
        ));
  }

  /** Applies a changed catalog. */
  applyCatalog(catalog: Catalog): void {
    this.connections.applyCatalog(catalog);
    this.placer.applyCatalog(catalog);
    for (const target of this.targetsWithUnreadableLimit)
      if (!catalog.targets.has(target)) this.targetsWithUnreadableLimit.delete(target);
  }

  /** Whether there is an idle connection to a target. */
  isConnected(target: Target): boolean {
    return this.connections.of(target).hasIdle();
  }

  /** Closes the idle connections to all targets. */
  close(): void {
    this.connections.close();
  }

  openAttempt(
    call: IncomingCall,
    targetId: string,
    onEnd: (attempt: RunningAttempt, result: AttemptResult) => void,
  ): RunningAttempt {
    const { clock, parts } = this;
    const target = parts.catalog().targets.get(targetId)!;
    parts.counters.attempt(call.service);
    const targetState = this.targetStates.get(targetId);
    const priorState = {
      pace: targetState?.pace ?? USUAL_PACE_PERCENT,
      load: targetState === undefined ? 0 : this.targetStates.load(targetState),
    };
    let abortTimer: Timer | null = null;
    const attempt = this.transmit(call, target, {
      onHead: (sent, head) => this.recordHead(sent, head, priorState),
      onEnd: (ended, result) => {
        abortTimer?.cancel();
        this.targetStates.recordEnded(targetId);
        this.recordEnd(ended, result);
        this.placer.waitQueueOf(call.service).wake(CALLS_WOKEN_PER_END);
        onEnd(ended, result);
      },
    });
    // Only an attempt that exists can end, and be counted out again.
    this.targetStates.recordSent(targetId);
    abortTimer = clock.setTimer(call.deadline + ABORT_GRACE_MS, () => attempt.abort());
    return attempt;
  }

  recordFirstAttempt(service: string): void {
    this.budgetOf(service).recordFirstAttempt();
  }

  acquireRetry(service: string): boolean {
    const isAcquired = this.budgetOf(service).tryAcquire(this.parts.hostCount());
    if (isAcquired) this.parts.counters.retry(service);
    return isAcquired;
  }

  private recordHead(
    attempt: RunningAttempt,
    head: AnswerHead,
    priorState: PriorTargetState,
  ): void {
    const { load, coldLeft } = head.metadata;
    const isForThisCall = head.metadata.callId === attempt.call.id;
    if (!isForThisCall || head.status === 421) return;
    this.recordWishes(attempt.target, head);
    const isNormalAnswer = head.status < 500;
    if (isNormalAnswer && attempt.sentAt !== null) {
      const answerTimeMs = this.clock.now() - attempt.sentAt;
      const pace = ((load?.pace ?? priorState.pace) + priorState.pace) / 2;
      this.placer.recordAnswer(attempt.call, attempt.target, {
        ...{ elapsedMs: answerTimeMs, pace },
        loadBefore: priorState.load,
      });
      this.parts.counters.attemptTime(attempt.call.service, answerTimeMs);
    }
    const failureObservation: ObservationKind = head.metadata.isNotRun ? 'refusal' : 'failure';
    const observation: ObservationKind = isNormalAnswer ? 'answer' : failureObservation;
    const callLimit = this.callLimitOf(attempt, head, isNormalAnswer);
    this.report(attempt.target, observation, { load, coldLeft, callLimit });
  }

  private recordWishes(target: Target, { status, metadata }: AnswerHead): void {
    const { id } = target;
    const wasQuiet = this.targetStates.isQuiet(id);
    const isNowLeaving = metadata.isLeaving && this.targetStates.recordLeaving(target);
    if (isNowLeaving) this.parts.onLeaving(target);
    if (status === 503 && metadata.quietMs !== null)
      this.targetStates.recordQuiet(id, metadata.quietMs);
    const { isLeaving, quietMs } = metadata;
    const isNews = isLeaving ? isNowLeaving : !wasQuiet && this.targetStates.isQuiet(id);
    if (isNews) this.events.emit(DELIVERY_EVENTS.targetQuiet, { target: id, isLeaving, quietMs });
  }

  // Only the answer of a call that was run shows that a limit has ended.
  private callLimitOf(
    { target, call }: RunningAttempt,
    { metadata }: AnswerHead,
    isNormalAnswer: boolean,
  ): number | null {
    if (metadata.callLimit === 'unreadable') {
      if (this.targetsWithUnreadableLimit.has(target.id)) return null;
      this.targetsWithUnreadableLimit.add(target.id);
      this.events.emit(DELIVERY_EVENTS.unreadableLimit, { call: call.id, target: target.id });
      return null;
    }
    return metadata.callLimit ?? (isNormalAnswer ? Infinity : null);
  }

  private recordEnd(attempt: RunningAttempt, result: AttemptResult): void {
    const { target, call } = attempt;
    if (result.end === 'answered') this.crashes.recordAnswered(call);
    if (result.error === 'aborted' || result.error === null) return;
    this.events.emit(DELIVERY_EVENTS.targetLost, {
      call: call.id,
      target: target.id,
      error: result.error,
      reason: result.message,
    });
    // What this host lacks says nothing about the target.
    if (result.error === 'noSocket') return;
    this.report(target, result.end === 'notSent' ? 'lost' : 'failure', NOTHING_STATED);
    if (result.error === 'broken') {
      this.parts.onUnexpectedClose(target.id);
      this.crashes.recordBroken(attempt);
    }
  }

  private report(
    target: Target,
    observation: ObservationKind,
    { load, coldLeft, callLimit }: StatedByTarget,
  ): void {
    const { running = null, waiting = null, pace = null } = load ?? {};
    this.parts.onReport({
      target: target.id,
      age: 0,
      running,
      waiting,
      pace,
      observation,
      coldLeft,
      callLimit,
    });
  }

  private budgetOf(service: string): RetryBudget {
    let budget = this.retryBudgets.get(service);
    if (budget === undefined) {
      budget = new RetryBudget(this.clock, this.parts.retryBudgetLimits, this.startedAt);
      this.retryBudgets.set(service, budget);
    }
    return budget;
  }
}
