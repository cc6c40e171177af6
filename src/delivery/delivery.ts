import { type Catalog, type Target } from '../catalog';
import { type KnowledgeTable, type TargetReport, type TargetSight, USUAL_PACE } from '../knowledge';
import { type EventSink } from '../logging';
import { type RetryBounds, RetryBudget } from '../placement';
import { type Clock, type Random, type Timer } from '../runtime';

import { type AnswerHead } from './answerHead';
import { Attempt } from './attempt';
import { type AttemptObserver } from './attemptObserver';
import { type AttemptResult } from './attemptResult';
import { type CallProtocol } from './callProtocol';
import { ConnectionTable } from './connectionTable';
import { type CrashGuard } from './crashGuard';
import { type DeliveryContext } from './deliveryContext';
import { DELIVERY_EVENTS } from './events';
import { type IncomingCall } from './incomingCall';
import { type Placer } from './placer';
import { type RunningAttempt } from './runningAttempt';

// An attempt that nobody waits for any more is ended this long after the call's deadline.
const ABANDON_MS = 300;

// A call that ends frees one slot, and the first call in the line may not be able to use it.
const WOKEN_BY_END = 2;

interface TargetBefore {
  readonly pace: number;
  readonly load: number;
}

/** Counters of delivery. */
export interface DeliveryCounters {
  attempt(service: string): void;
  repeat(service: string): void;
  connection(): void;
  attemptTime(service: string, milliseconds: number): void;
}

/** What delivery uses of its host. */
export interface DeliveryParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventSink;
  readonly protocol: CallProtocol;
  readonly knowledge: KnowledgeTable;
  readonly placer: Placer;
  readonly crashes: CrashGuard;
  readonly catalog: () => Catalog;
  readonly retryBounds: RetryBounds;
  /** Most hosts that may be spending the slack of the retry budgets. */
  readonly hostCount: () => number;
  /** Told of what this host sees of targets. */
  readonly onReport: (report: TargetReport) => void;
  readonly onSuddenClose: (target: string) => void;
  readonly counters: DeliveryCounters;
  /** How a call is transmitted to a target; over connections of this host unless it is given. */
  readonly transmit?: Transmit;
}

/** Makes an attempt that is started by its user. */
export type Transmit = (
  call: IncomingCall,
  target: Target,
  observer: AttemptObserver,
) => RunningAttempt;

/** Attempts at targets, with what they teach about the targets. */
export class Delivery implements DeliveryContext {
  readonly clock: Clock;

  readonly random: Random;

  readonly events: EventSink;

  readonly knowledge: KnowledgeTable;

  readonly placer: Placer;

  readonly crashes: CrashGuard;

  private readonly connections: ConnectionTable;

  private readonly startedAt: number;

  private readonly transmit: Transmit;

  private readonly budgets = new Map<string, RetryBudget>();

  constructor(private readonly parts: DeliveryParts) {
    this.clock = parts.clock;
    this.startedAt = parts.clock.now();
    this.random = parts.random;
    this.events = parts.events;
    this.knowledge = parts.knowledge;
    this.placer = parts.placer;
    this.crashes = parts.crashes;
    this.connections = new ConnectionTable(parts.clock, {
      onSuddenClose: (target) => this.parts.onSuddenClose(target),
      onOpened: () => parts.counters.connection(),
    });
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
        ));
  }

  /** Follows a change of the catalog. */
  follow(catalog: Catalog): void {
    this.connections.follow(catalog);
  }

  /** Whether a free connection to a target is open. */
  isConnected(target: Target): boolean {
    return this.connections.of(target).hasIdle();
  }

  /** Closes idle connections. */
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
    const held = this.knowledge.get(targetId);
    const before = {
      pace: held?.pace ?? USUAL_PACE,
      load: held === undefined ? 0 : this.knowledge.load(held),
    };
    this.knowledge.noteSent(targetId);
    let abandon: Timer | null = null;
    const attempt = this.transmit(call, target, {
      onHead: (sent, head) => this.learnFromHead(sent, head, before),
      onEnd: (ended, result) => {
        abandon?.cancel();
        this.knowledge.noteEnded(targetId);
        this.learnFromEnd(ended, result);
        this.placer.lineOf(call.service).wake(WOKEN_BY_END);
        onEnd(ended, result);
      },
    });
    abandon = clock.setTimer(call.deadline + ABANDON_MS, () => attempt.abort());
    return attempt;
  }

  noteFirst(service: string): void {
    this.budgetOf(service).noteFirst();
  }

  takeRepeat(service: string): boolean {
    const isTaken = this.budgetOf(service).take(this.parts.hostCount());
    if (isTaken) this.parts.counters.repeat(service);
    return isTaken;
  }

  private learnFromHead(attempt: RunningAttempt, head: AnswerHead, before: TargetBefore): void {
    const { load, coldLeft } = head.facts;
    const isOwnAnswer = head.facts.callId === null || head.facts.callId === attempt.call.id;
    if (!isOwnAnswer || head.status === 421) return;
    const isGood = head.status < 500;
    if (isGood && attempt.sentAt !== null) {
      const elapsed = this.clock.now() - attempt.sentAt;
      const pace = ((load?.pace ?? before.pace) + before.pace) / 2;
      this.placer.noteAnswer(attempt.call, attempt.target, {
        ...{ elapsedMs: elapsed, pace },
        loadBefore: before.load,
      });
      this.parts.counters.attemptTime(attempt.call.service, elapsed);
    }
    const bad: TargetSight = head.facts.saysNotRun ? 'refusal' : 'failure';
    const sight: TargetSight = isGood ? 'answer' : bad;
    this.report(attempt.target, sight, load, coldLeft);
  }

  private learnFromEnd(attempt: RunningAttempt, result: AttemptResult): void {
    const { target, call } = attempt;
    if (result.end === 'answered') this.crashes.noteAnswered(call);
    if (result.error === 'aborted' || result.error === null) return;
    this.events.emit(DELIVERY_EVENTS.targetLost, {
      call: call.id,
      target: target.id,
      error: result.error,
      reason: result.message,
    });
    this.report(target, result.end === 'notSent' ? 'lost' : 'failure', null, null);
    if (result.error === 'broken') {
      this.parts.onSuddenClose(target.id);
      this.crashes.noteBroken(attempt);
    }
  }

  private report(
    target: Target,
    sight: TargetSight,
    load: AnswerHead['facts']['load'],
    coldLeft: number | null,
  ): void {
    const { running = null, waiting = null, pace = null } = load ?? {};
    this.parts.onReport({ target: target.id, age: 0, running, waiting, pace, sight, coldLeft });
  }

  private budgetOf(service: string): RetryBudget {
    let budget = this.budgets.get(service);
    if (budget === undefined) {
      budget = new RetryBudget(this.clock, this.parts.retryBounds, this.startedAt);
      this.budgets.set(service, budget);
    }
    return budget;
  }
}
