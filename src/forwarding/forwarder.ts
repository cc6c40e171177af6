import { Err } from 'ts-results';

import { notRun } from '../outcomes';
import { type Choice, type PlacementEnd, type Slot } from '../routing';

import { AnswerIdentity } from './answerIdentity';
import { attemptCall, type AttemptContext } from './attempt';
import { type Call } from './call';
import { type ForwarderContext } from './forwarderContext';
import { type PlacementResult } from './placementResult';
import { PlacementState } from './placementState';
import { type PlacementCause, Placer } from './placer';
import { relayCall } from './relay';
import { RetryableRun, type RetryContext } from './retryableRun';
import { RunningTargets } from './runningTargets';
import { ServiceHistory } from './serviceHistory';
import { SuspectIsolation } from './suspectIsolation';

// An extra attempt of a nested call consumes this many attempts of the retry budget, which limits
// nested calls to a tenth of it. With a `retry_percent` of 10, extra attempts are at most 10% of the
// calls at the first level and 1% at each nested level. In a chain in which each target makes one
// call, level 7 then receives at most 1.1 * 1.01^6, less than 1.2, times the calls of the first level.
const NESTED_RETRY_COST = 10;

/** Result of a relayed call as reported for its owner; cancellation does not count as a failure. */
function placementEnd(call: Call, result: PlacementResult): PlacementEnd {
  if (result.ok || call.cancellation.isCancelled) return 'answered';
  return result.val.outcome.kind === 'not-run' ? 'refused' : 'failed';
}

/** Places calls on targets of this host or relays them to other owners. */
export class Forwarder {
  private readonly placer: Placer;

  private readonly attemptContext: AttemptContext;

  private readonly histories = new Map<string, ServiceHistory>();

  private readonly runningTargets = new RunningTargets();

  private readonly suspectIsolation = new SuspectIsolation();

  constructor(private readonly context: ForwarderContext) {
    this.attemptContext = { ...context, answerIdentity: new AnswerIdentity() };
    this.placer = new Placer({
      router: context.router,
      clock: context.clock,
      dispatch: (call, choice, cause) => this.dispatch(call, choice, cause),
      acquireExtraAttempt: (call) => this.acquireExtraAttempt(call),
    });
  }

  /** Runs a call received from a caller. */
  runEntry(call: Call): Promise<PlacementResult> {
    const history = this.historyOf(call.traits.service);
    history.budget.countCall();
    if (!call.traits.idempotent || call.depth > 0 || call.body.kind === 'stream') {
      return this.placer.place(call, new PlacementState(), 'first');
    }
    return new RetryableRun(call, this.retryContext(call, history)).run();
  }

  /** Runs a call on a target that this host owns. */
  async runOnOwnTarget(call: Call, cause: PlacementCause = 'first'): Promise<PlacementResult> {
    const { traits } = call;
    if (!this.context.router.viewIsCurrent()) {
      return Err({ outcome: notRun('view-expired', 'this host is cut off'), target: null });
    }
    const slotTraits = this.suspectIsolation.traitsFor(this.runningTargets.traitsFor(traits));
    const slot = await this.context.router.pool(traits.service).acquire(slotTraits);
    if (slot.err) return Err({ outcome: slot.val, target: null });
    const { target, reason, candidates } = slot.val;
    if (call.cancellation.isCancelled) {
      slot.val.finish({ kind: 'not-sent' });
      return Err({ outcome: notRun('deadline', 'the call was cancelled'), target: null });
    }
    this.recordDecision(call, this.context.hostId, target.target, cause, reason, candidates);
    return this.runOnSlot(call, slot.val);
  }

  private async runOnSlot(call: Call, slot: Slot): Promise<PlacementResult> {
    const { callId, suspect } = call.traits;
    const { target } = slot.target;
    if (suspect !== null && !this.suspectIsolation.tryBegin(target)) {
      slot.finish({ kind: 'not-sent' });
      const outcome = notRun('overloaded', 'another suspect runs on each free target');
      return Err({ outcome, target });
    }
    this.runningTargets.begin(callId, target);
    const result = await attemptCall(call, slot, this.attemptContext);
    this.runningTargets.end(callId, target);
    if (suspect !== null) this.suspectIsolation.end(target);
    return result;
  }

  private async dispatch(
    call: Call,
    choice: Choice,
    cause: PlacementCause,
  ): Promise<PlacementResult> {
    this.context.metrics.countPlacement(choice.own);
    if (choice.own) return this.runOnOwnTarget(call, cause);
    this.recordDecision(call, choice.owner.host.host, '', cause, choice.reason, choice.candidates);
    const end = choice.begin();
    const result = await relayCall(call, choice, this.context.relay);
    end(placementEnd(call, result));
    return result;
  }

  private retryContext(call: Call, history: ServiceHistory): RetryContext {
    const targets = this.context.fleet.view()?.sheet.targetsOf.get(call.traits.service);
    return {
      // With a single target, a hedge would only add load to that target.
      mayHedge: targets !== undefined && targets.length > 1,
      placer: this.placer,
      clock: this.context.clock,
      history,
      acquireExtraAttempt: (retriedCall) => this.acquireExtraAttempt(retriedCall),
      countExtraAttempt: (cause) => this.context.metrics.countExtraAttempt(cause),
    };
  }

  private acquireExtraAttempt(call: Call): boolean {
    const { service } = call.traits;
    const percent = this.context.fleet.view()?.sheet.services.get(service)?.retry_percent ?? 0;
    return this.historyOf(service).budget.tryAcquire(
      percent,
      call.depth === 0 ? 1 : NESTED_RETRY_COST,
    );
  }

  private historyOf(service: string): ServiceHistory {
    let history = this.histories.get(service);
    if (history === undefined) {
      history = new ServiceHistory(this.context.clock);
      this.histories.set(service, history);
    }
    return history;
  }

  private recordDecision(
    call: Call,
    host: string,
    target: string,
    cause: PlacementCause,
    reason: string,
    candidates: number,
  ): void {
    const { callId, service, class: priority } = call.traits;
    this.context.decisions.record({
      callId,
      service,
      class: priority,
      host,
      target,
      reason: cause === 'first' ? reason : `${cause}: ${reason}`,
      candidates,
    });
  }
}
