import { type Catalog, type Target } from '../catalog';
import { ALWAYS_VALID_KEYS, type KeyValidity } from '../freshness';
import { type TargetStatisticsTable, USUAL_PACE_PERCENT } from '../knowledge';
import { type EventSink } from '../logging';
import { type RetryBudgetLimits, RetryBudget } from '../placement';
import { type Clock, type Random, type Timer } from '../runtime';

import { Attempt } from './attempt';
import { type AttemptObserver } from './attemptObserver';
import { type AttemptResult } from './attemptResult';
import { type CallProtocol } from './callProtocol';
import { type ConnectionLimits, NO_CONNECTION_LIMITS } from './connectionLimits';
import { ConnectionTable } from './connectionTable';
import { type CrashGuard } from './crashGuard';
import { type DeliveryContext } from './deliveryContext';
import { type IncomingCall } from './incomingCall';
import { MemoryAccount } from './memoryAccount';
import { type Placer } from './placer';
import { type RunningAttempt } from './runningAttempt';
import { TargetObserver, type TargetObserverParts } from './targetObserver';
import { UnsentAttempt } from './unsentAttempt';

// An attempt that is still running this long after the deadline of its call is aborted.
const ABORT_GRACE_MS = 300;

// A call that ends frees one slot, but the first call in the wait queue may be unable to use it.
const CALLS_WOKEN_PER_END = 2;

/** Metrics that delivery records. */
export interface DeliveryCounters {
  attempt(service: string): void;
  retry(service: string): void;
  yielded(service: string): void;
  turn(service: string): void;
  connection(): void;
  attemptTime(service: string, milliseconds: number): void;
}

/** Dependencies of delivery. */
export interface DeliveryParts extends TargetObserverParts {
  readonly random: Random;
  readonly protocol: CallProtocol;
  readonly catalog: () => Catalog;
  /** Monotonic time by which the last answer must be sent; Infinity unless the host is stopping. */
  readonly stopDeadline: () => number;
  readonly retryBudgetLimits: RetryBudgetLimits;
  /** Upper bound of the number of hosts that share the slack of the retry budgets. */
  readonly hostCount: () => number;
  readonly counters: DeliveryCounters;
  /** Bounds the bytes of answers; by default they have no common bound. */
  readonly memory?: MemoryAccount;
  /** Bounds the connections to targets; by default they have no bound. */
  readonly connectionLimits?: ConnectionLimits;
  /** Whether callers' keys may be used; by default always. */
  readonly keys?: KeyValidity;
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

  readonly keys: KeyValidity;

  private readonly connections: ConnectionTable;

  private readonly startedAt: number;

  private readonly transmit: Transmit;

  private readonly observer: TargetObserver;

  private readonly retryBudgets = new Map<string, RetryBudget>();

  constructor(private readonly parts: DeliveryParts) {
    this.clock = parts.clock;
    this.startedAt = parts.clock.now();
    this.observer = new TargetObserver(parts);
    this.random = parts.random;
    this.events = parts.events;
    this.targetStates = parts.targetStates;
    this.placer = parts.placer;
    this.crashes = parts.crashes;
    this.stopDeadline = parts.stopDeadline;
    this.keys = parts.keys ?? ALWAYS_VALID_KEYS;
    this.connections = new ConnectionTable(
      parts.clock,
      {
        onUnexpectedClose: (target) => this.parts.onUnexpectedClose(target),
        onOpened: () => parts.counters.connection(),
      },
      parts.connectionLimits ?? NO_CONNECTION_LIMITS,
    );
    const memory = parts.memory ?? new MemoryAccount(Infinity);
    this.transmit =
      parts.transmit ??
      ((call, target, observer) => {
        const connections = this.connections.of(target);
        const connection = connections.acquire(call.id);
        if (connection === null) return new UnsentAttempt(call, target, observer);
        return new Attempt(
          call,
          target,
          parts.protocol,
          connections,
          connection,
          this.clock,
          observer,
          memory.open(),
        );
      });
  }

  /** Applies a changed catalog. */
  applyCatalog(catalog: Catalog): void {
    this.connections.applyCatalog(catalog);
    this.placer.admission.applyCatalog(catalog);
    this.observer.applyCatalog(catalog);
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
    const isRated = this.placer.admission.recordPlaced(target);
    let abortTimer: Timer | null = null;
    const attempt = this.transmit(call, target, {
      withdrawal: () => this.withdrawal(call, target, isRated),
      onHead: (sent, head) => this.observer.recordHead(sent, head, priorState),
      onEnd: (ended, result) => {
        abortTimer?.cancel();
        this.targetStates.recordEnded(targetId);
        if (result.end === 'withdrawn' && isRated) this.placer.admission.recordWithdrawn(target);
        this.observer.recordEnd(ended, result);
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

  recordYield(service: string): void {
    this.parts.counters.yielded(service);
  }

  recordTurn(service: string): void {
    this.parts.counters.turn(service);
  }

  mayHedge(): boolean {
    return this.connections.mayHedge();
  }

  acquireRetry(service: string): boolean {
    const isAcquired = this.budgetOf(service).tryAcquire(this.parts.hostCount());
    if (isAcquired) this.parts.counters.retry(service);
    return isAcquired;
  }

  returnRetry(service: string): void {
    this.budgetOf(service).release();
  }

  private withdrawal(call: IncomingCall, target: Target, isRated: boolean): string | null {
    if (call.deadline > this.stopDeadline()) return 'host is stopping';
    if (call.tenant !== null && !this.keys.mayUseKeys()) return 'keys may not be used';
    if (this.crashes.isRefused(call)) return 'call crashes targets';
    return this.placer.admission.withdrawal(target, isRated);
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
