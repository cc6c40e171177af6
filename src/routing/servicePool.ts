import { Err, Ok, type Result } from 'ts-results';

import { type OwnedTarget } from '../fleet';
import { notRun, type NotRun } from '../outcomes';
import { type Timer } from '../runtime';

import { AnswerTimes } from './answerTimes';
import { type AttemptResult } from './attemptResult';
import { type CallTraits } from './callTraits';
import { type Flight } from './flight';
import { isAbandoned, isErrorAnswer, judgeResult } from './judgeResult';
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

// Limits also change with time alone (trials, load reports, reservations), so a queue is looked
// at again this often.
// A target stops an abandoned call when it sees the closed connection: after the way to it, at
// most 1 ms, and a turn of its own event loop.
const CANCELLATION_HOLD_MS = 20;
const QUEUE_CHECK_MS = 20;
// A target that moves here becomes usable with the release of its earlier owner, within
// milliseconds; a call waits this long for it before it is routed again.
const HANDOVER_WAIT_MS = 300;
const LONGEST_HOLD_MS = 1000;

/** The targets of one service that this host owns, and the calls that wait for them. */
export class ServicePool implements TargetPool {
  private readonly targets: PoolTargets;

  private readonly queue = new WaitQueue();

  private queueTimer: Timer | null = null;

  /** Calls in flight that are below the top rank. */
  private lowInFlight = 0;

  /** Time for which a call holds its slot. */
  private readonly holdTimes = new AnswerTimes();

  constructor(private readonly context: PoolContext) {
    this.targets = new PoolTargets(context);
  }

  /** Takes over the list of owned targets; calls in flight stay counted until they finish. */
  setTargets(owned: readonly OwnedTarget[]): void {
    this.targets.apply(owned, this.now());
    this.serveQueue();
  }

  acquire(call: CallTraits): Promise<Result<Slot, NotRun>> {
    const now = this.now();
    const rank = this.context.ranks().of(call.class);
    if (now >= call.deadline) {
      return Promise.resolve(Err(notRun('deadline', 'the deadline has passed')));
    }
    if (this.queue.ahead(rank) === 0) {
      const slot = this.take(call, rank, now);
      if (slot !== null) return Promise.resolve(Ok(slot));
    }
    const refusal = this.refusal(call, rank, now);
    if (refusal !== null) return Promise.resolve(Err(refusal));
    return this.wait(call, rank, now);
  }

  /** Load of the pool; targets that are held back count no slots. */
  state(): PoolState {
    return { ...this.targets.load(this.now()), queued: this.queue.size };
  }

  /** True when a call of this class would get a slot of a trusted target at once. */
  hasRoomFor(call: CallTraits): boolean {
    const now = this.now();
    const rank = this.context.ranks().of(call.class);
    // Calls of lower classes that wait do not stand in the way of this one.
    if (this.queue.ahead(rank) > 0 || !this.targets.hasTrustedRoom(now)) return false;
    return !this.isHeldToReserve(rank, now);
  }

  /** Median answer time of the service in milliseconds; 0 when not known. */
  medianMs(): number {
    return this.targets.medianMs(this.now());
  }

  /** Takes a median that another host knows of this service. */
  reportMedian(hostId: string, medianMs: number): void {
    this.targets.median.report(hostId, medianMs, this.now());
  }

  /** State of an owned target or of one with calls still in flight; undefined when unknown. */
  target(targetId: string): TargetState | undefined {
    return this.targets.states.get(targetId);
  }

  /** States of the targets that this host owns. */
  owned(): readonly TargetState[] {
    return this.targets.states.owned;
  }

  /** Serves waiting calls after a target has changed from outside. */
  targetsChanged(): void {
    this.targets.regroup();
    this.serveQueue();
  }

  private now(): number {
    return this.context.clock.now();
  }

  /** True when calls of this rank already hold all slots that are not reserved. */
  private isHeldToReserve(rank: number, now: number): boolean {
    const ranks = this.context.ranks();
    if (ranks.reservedShare === 0 || ranks.isTop(rank)) return false;
    return this.lowInFlight >= this.targets.limitFor(rank, now);
  }

  private take(call: CallTraits, rank: number, now: number): Slot | null {
    if (this.isHeldToReserve(rank, now)) return null;
    const groups = this.targets.groups(now);
    const start = this.context.random.integer(Math.max(1, groups.trusted.length));
    const choice = chooseTarget(groups, call, now, start);
    const low = !this.context.ranks().isTop(rank);
    return choice === null ? null : this.slotOf(choice, call, low, now);
  }

  private slotOf(choice: TargetChoice, call: CallTraits, low: boolean, now: number): Slot {
    const { state, reason } = choice;
    const { invariants } = this.context;
    invariants.check(state.isOpen(now), 'a call is given only to an open target');
    if (reason === 'trial after an outage') state.outage.trialStarted(now);
    if (reason === 'trial of a suspected target') state.suspicion.trialStarted(now);
    const flight: Flight = {
      call,
      takenAt: now,
      low,
      loadAtStart: state.load(now) + 1,
      sentAt: null,
      answeredAt: null,
      finished: false,
    };
    state.flights.add(flight);
    if (low) this.lowInFlight += 1;
    invariants.check(state.load(now) <= state.limit(now), 'calls in flight stay within the limit');
    return new TargetSlot(state, flight, reason, this.owned().length, this.context, (...end) =>
      this.finish(state, ...end),
    );
  }

  private finish(state: TargetState, flight: Flight, result: AttemptResult): void {
    const now = this.now();
    const medianMs = this.targets.medianMs(now);
    this.context.invariants.check(state.flights.delete(flight), 'a finished call was in flight');
    if (flight.low) this.lowInFlight -= 1;
    const usual = state.times.usual || medianMs;
    this.targets.changing(state, now, () => judgeResult(state, flight, result, { now, medianMs }));
    if (isErrorAnswer(result)) this.hold(state, flight.takenAt + usual);
    else if (isAbandoned(result, flight)) this.hold(state, now + CANCELLATION_HOLD_MS);
    else if (result.kind === 'answered') this.holdTimes.add(now - flight.takenAt);
    this.targets.states.dropIfDone(state);
    this.serveQueue();
  }

  /** Keeps a slot busy until the target's usual answer time has passed. */
  private hold(state: TargetState, until: number): void {
    const now = this.now();
    if (until <= now) return;
    state.held += 1;
    this.context.clock.setTimer(Math.min(until, now + LONGEST_HOLD_MS), () => {
      state.held -= 1;
      this.serveQueue();
    });
  }

  private refusal(call: CallTraits, rank: number, now: number): NotRun | null {
    if (this.targets.isLost(now)) {
      return notRun('no-usable-target', 'no target of the service is usable here');
    }
    const slots = Math.max(1, this.targets.limitFor(rank, now));
    const waitMs = (this.queue.ahead(rank) * this.holdTimes.usual) / slots;
    if (now + waitMs <= this.latestStart(call, now)) return null;
    return notRun('overloaded', `the expected wait of ${Math.ceil(waitMs)} ms is too long`);
  }

  /**
   * A call that starts later is cut off by its deadline, and its outcome is then unknown; "not
   * run" tells the caller more.
   */
  private latestStart(call: CallTraits, now: number): number {
    return call.deadline - this.targets.medianMs(now);
  }

  private wait(call: CallTraits, rank: number, now: number): Promise<Result<Slot, NotRun>> {
    const unusable = this.targets.groups(now).trusted.length === 0;
    const latestStart = this.latestStart(call, now);
    const until = unusable ? Math.min(latestStart, now + HANDOVER_WAIT_MS) : latestStart;
    return new Promise((resolve) => {
      const waiter: Waiter = { call, rank, latestStart, settle: resolve, timer: null };
      this.queue.add(waiter);
      waiter.timer = this.context.clock.setTimer(until, () => this.giveUp(waiter));
      this.serveQueue();
    });
  }

  private giveUp(waiter: Waiter): void {
    if (!this.queue.remove(waiter)) return;
    const late = this.now() >= waiter.latestStart;
    const refusal = late
      ? notRun('deadline', 'no slot was free in time for an answer')
      : notRun('no-usable-target', 'no target of the service became usable here');
    waiter.settle(Err(refusal));
  }

  private watchQueue(): void {
    if (this.queueTimer !== null || this.queue.size === 0) return;
    this.queueTimer = this.context.clock.setTimer(this.now() + QUEUE_CHECK_MS, () => {
      this.queueTimer = null;
      this.serveQueue();
    });
  }

  /** Gives free slots to waiting calls; a call that fits nowhere does not block others. */
  private serveQueue(): void {
    if (this.queue.size === 0) return;
    const now = this.now();
    if (this.targets.isLost(now)) this.refuseAll();
    else this.grantInOrder(now);
    this.watchQueue();
  }

  private grantInOrder(now: number): void {
    for (const waiter of this.queue.inOrder()) {
      if (!this.targets.hasRoom(now) || this.isHeldToReserve(waiter.rank, now)) return;
      // After a pause the timer of a call may still be due; it must not be sent late.
      const late = now >= waiter.latestStart;
      const slot = late ? null : this.take(waiter.call, waiter.rank, now);
      if (slot === null) continue;
      this.queue.remove(waiter);
      waiter.timer?.cancel();
      waiter.settle(Ok(slot));
    }
  }

  private refuseAll(): void {
    for (const waiter of this.queue.inOrder()) {
      waiter.timer?.cancel();
      this.giveUp(waiter);
    }
  }
}
