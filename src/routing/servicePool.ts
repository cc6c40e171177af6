import { Err, Ok, type Result } from 'ts-results';

import { type OwnedTarget } from '../fleet';
import { notRun, type NotRun } from '../outcomes';
import { type Timer } from '../runtime';

import { MovingAverage } from './movingAverage';
import { type AttemptResult } from './attemptResult';
import { type CallTraits } from './callTraits';
import { type InFlightCall } from './inFlightCall';
import { isAbandoned, isErrorAnswer, applyAttemptResult } from './applyAttemptResult';
import { type PoolContext } from './poolContext';
import { type PoolState } from './poolState';
import { PoolTargets } from './poolTargets';
import { type Slot } from './slot';
import { chooseTarget, type TargetChoice } from './targetChoice';
import { type TargetPool } from './targetPool';
import { TargetSlot } from './targetSlot';
import { type TargetState } from './targetState';
import { type Waiter } from './waiter';
import { WaitQueue } from './waitQueue';

// The slot of an abandoned call stays in use this long, since the target may still run the call: it
// stops the call when it sees the closed connection, after a network delay of at most 1 ms and one
// iteration of its event loop.
const CANCELLATION_HOLD_MS = 20;
// Interval for rechecking the wait queue, since limits also change with time alone: trials become
// due, and load reports and reservations expire.
const QUEUE_RECHECK_MS = 20;
// A target handed over to this host becomes usable with the release from its previous owner, within
// milliseconds; a call waits this long for it before it is routed again.
const HANDOVER_WAIT_MS = 300;
const MAX_HOLD_MS = 1000;

/** The targets of one service that this host owns, and the wait queue for their slots. */
export class ServicePool implements TargetPool {
  private readonly targets: PoolTargets;

  private readonly queue = new WaitQueue();

  private recheckTimer: Timer | null = null;

  /** Calls in flight that are below the top rank. */
  private lowRankInFlight = 0;

  /** Average time for which an answered call holds its slot. */
  private readonly holdTime = new MovingAverage();

  constructor(private readonly context: PoolContext) {
    this.targets = new PoolTargets(context);
  }

  /** Applies a new list of owned targets; calls in flight stay counted until they finish. */
  setTargets(owned: readonly OwnedTarget[]): void {
    this.targets.apply(owned, this.now());
    this.serveQueue();
  }

  acquire(call: CallTraits): Promise<Result<Slot, NotRun>> {
    const now = this.now();
    const rank = this.context.ranks().rankOf(call.class);
    if (now >= call.deadline) {
      return Promise.resolve(Err(notRun('deadline', 'the deadline has passed')));
    }
    if (this.queue.countAhead(rank) === 0) {
      const slot = this.tryAcquire(call, rank, now);
      if (slot !== null) return Promise.resolve(Ok(slot));
    }
    const refusal = this.refusalFor(call, rank, now);
    if (refusal !== null) return Promise.resolve(Err(refusal));
    return this.wait(call, rank, now);
  }

  /** Load of the pool; outliers and unreachable targets do not count. */
  state(): PoolState {
    return { ...this.targets.load(this.now()), queued: this.queue.size };
  }

  /** True when the call would get a slot of a healthy target at once. */
  hasFreeSlotFor(call: CallTraits): boolean {
    const now = this.now();
    const rank = this.context.ranks().rankOf(call.class);
    // Waiting calls of lower classes do not delay this call.
    if (this.queue.countAhead(rank) > 0 || !this.targets.hasFreeHealthySlot(now)) return false;
    return !this.isLimitedByReserve(rank, now);
  }

  /** Median answer time of the service in milliseconds; 0 when not known. */
  medianMs(): number {
    return this.targets.medianMs(this.now());
  }

  /** Applies the median answer time of this service that another host reported. */
  applyMedian(hostId: string, medianMs: number): void {
    this.targets.median.apply(hostId, medianMs, this.now());
  }

  /** State of a target that is owned or still has calls in flight; undefined for others. */
  target(targetId: string): TargetState | undefined {
    return this.targets.states.get(targetId);
  }

  /** States of the targets that this host owns. */
  owned(): readonly TargetState[] {
    return this.targets.states.owned;
  }

  /** Regroups the targets and serves waiting calls after the state of a target was changed. */
  onTargetsChanged(): void {
    this.targets.invalidateGroups();
    this.serveQueue();
  }

  private now(): number {
    return this.context.clock.now();
  }

  /** True when calls below the top rank already hold all slots that are not reserved. */
  private isLimitedByReserve(rank: number, now: number): boolean {
    const ranks = this.context.ranks();
    if (ranks.reservedShare === 0 || ranks.isTop(rank)) return false;
    return this.lowRankInFlight >= this.targets.limitFor(rank, now);
  }

  private tryAcquire(call: CallTraits, rank: number, now: number): Slot | null {
    if (this.isLimitedByReserve(rank, now)) return null;
    const groups = this.targets.groups(now);
    const start = this.context.random.integer(Math.max(1, groups.inRotation.length));
    const choice = chooseTarget(groups, call, now, start);
    const isBelowTopRank = !this.context.ranks().isTop(rank);
    return choice === null ? null : this.createSlot(choice, call, isBelowTopRank, now);
  }

  private createSlot(
    choice: TargetChoice,
    call: CallTraits,
    isBelowTopRank: boolean,
    now: number,
  ): Slot {
    const { state, reason } = choice;
    const { invariants } = this.context;
    invariants.check(state.isOpen(now), 'a call is assigned only to an open target');
    if (reason === 'trial after an outage') state.outage.recordTrial(now);
    if (reason === 'trial of a suspected target') state.outlierStatus.recordTrial(now);
    const inFlightCall: InFlightCall = {
      call,
      acquiredAt: now,
      isBelowTopRank,
      loadAtStart: state.load(now) + 1,
      sentAt: null,
      answeredAt: null,
      isFinished: false,
    };
    state.inFlightCalls.add(inFlightCall);
    if (isBelowTopRank) this.lowRankInFlight += 1;
    invariants.check(state.load(now) <= state.limit(now), 'calls in flight stay within the limit');
    return new TargetSlot(
      state,
      inFlightCall,
      reason,
      this.owned().length,
      this.context,
      (...result) => this.finish(state, ...result),
    );
  }

  private finish(state: TargetState, inFlightCall: InFlightCall, result: AttemptResult): void {
    const now = this.now();
    const medianMs = this.targets.medianMs(now);
    this.context.invariants.check(
      state.inFlightCalls.delete(inFlightCall),
      'a finished call was in flight',
    );
    if (inFlightCall.isBelowTopRank) this.lowRankInFlight -= 1;
    const averageMs = state.answerTime.value || medianMs;
    this.targets.update(state, now, () =>
      applyAttemptResult(state, inFlightCall, result, { now, medianMs }),
    );
    if (isErrorAnswer(result)) this.holdSlot(state, inFlightCall.acquiredAt + averageMs);
    else if (isAbandoned(result, inFlightCall)) this.holdSlot(state, now + CANCELLATION_HOLD_MS);
    else if (result.kind === 'answered') this.holdTime.add(now - inFlightCall.acquiredAt);
    this.targets.states.dropIfUnused(state);
    this.serveQueue();
  }

  /** Keeps a slot in use until a given time, for at most `MAX_HOLD_MS`. */
  private holdSlot(state: TargetState, until: number): void {
    const now = this.now();
    if (until <= now) return;
    state.heldSlots += 1;
    this.context.clock.setTimer(Math.min(until, now + MAX_HOLD_MS), () => {
      state.heldSlots -= 1;
      this.serveQueue();
    });
  }

  private refusalFor(call: CallTraits, rank: number, now: number): NotRun | null {
    if (this.targets.isUnavailable(now)) {
      return notRun('no-usable-target', 'no target of the service is usable here');
    }
    const slots = Math.max(1, this.targets.limitFor(rank, now));
    const waitMs = (this.queue.countAhead(rank) * this.holdTime.value) / slots;
    if (now + waitMs <= this.latestStart(call, now)) return null;
    return notRun('overloaded', `the expected wait of ${Math.ceil(waitMs)} ms is too long`);
  }

  /**
   * Latest time at which a call can start and still be answered before its deadline. A call that
   * starts later would end with an unknown outcome; refusing it as "not run" tells the caller more.
   */
  private latestStart(call: CallTraits, now: number): number {
    return call.deadline - this.targets.medianMs(now);
  }

  private wait(call: CallTraits, rank: number, now: number): Promise<Result<Slot, NotRun>> {
    const hasNoTargetInRotation = this.targets.groups(now).inRotation.length === 0;
    const latestStart = this.latestStart(call, now);
    const until = hasNoTargetInRotation
      ? Math.min(latestStart, now + HANDOVER_WAIT_MS)
      : latestStart;
    return new Promise((resolve) => {
      const waiter: Waiter = { call, rank, latestStart, settle: resolve, timer: null };
      this.queue.add(waiter);
      waiter.timer = this.context.clock.setTimer(until, () => this.expire(waiter));
      this.serveQueue();
    });
  }

  private expire(waiter: Waiter): void {
    if (!this.queue.remove(waiter)) return;
    const isLate = this.now() >= waiter.latestStart;
    const refusal = isLate
      ? notRun('deadline', 'no slot was free in time for an answer')
      : notRun('no-usable-target', 'no target of the service became usable here');
    waiter.settle(Err(refusal));
  }

  private scheduleRecheck(): void {
    if (this.recheckTimer !== null || this.queue.size === 0) return;
    this.recheckTimer = this.context.clock.setTimer(this.now() + QUEUE_RECHECK_MS, () => {
      this.recheckTimer = null;
      this.serveQueue();
    });
  }

  /** Gives free slots to waiting calls; a call that fits no target does not block others. */
  private serveQueue(): void {
    if (this.queue.size === 0) return;
    const now = this.now();
    if (this.targets.isUnavailable(now)) this.refuseAll();
    else this.grantInOrder(now);
    this.scheduleRecheck();
  }

  private grantInOrder(now: number): void {
    for (const waiter of this.queue.inOrder()) {
      if (!this.targets.hasFreeSlot(now) || this.isLimitedByReserve(waiter.rank, now)) return;
      // After a pause of the process, the timer of an expired call may not have fired yet.
      const isLate = now >= waiter.latestStart;
      const slot = isLate ? null : this.tryAcquire(waiter.call, waiter.rank, now);
      if (slot === null) continue;
      this.queue.remove(waiter);
      waiter.timer?.cancel();
      waiter.settle(Ok(slot));
    }
  }

  private refuseAll(): void {
    for (const waiter of this.queue.inOrder()) {
      waiter.timer?.cancel();
      this.expire(waiter);
    }
  }
}
