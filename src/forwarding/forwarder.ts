import { Err } from 'ts-results';

import { notRun } from '../outcomes';
import { type Choice, type PlacementEnd, type Slot } from '../routing';

import { attemptCall } from './attempt';
import { type Call } from './call';
import { type ForwarderContext } from './forwarderContext';
import { type Placed } from './placed';
import { PlacementState } from './placementState';
import { type PlacementCause, Placer } from './placer';
import { relayCall } from './relay';
import { RepeatableRun, type RepeatContext } from './repeatableRun';
import { RunningTargets } from './runningTargets';
import { ServiceHistory } from './serviceHistory';
import { SuspectPlaces } from './suspectPlaces';

// A level of a chain that adds 1% keeps the calls of 7 levels within 1.2 times the first.
const DEEP_REPEAT_COST = 10;

/** What a relayed call says of its owner; a cancelled call says nothing against it. */
function placementEnd(call: Call, placed: Placed): PlacementEnd {
  if (placed.ok || call.cancellation.cancelled) return 'answered';
  return placed.val.outcome.kind === 'not-run' ? 'refused' : 'failed';
}

/** Places calls on targets. */
export class Forwarder {
  private readonly placer: Placer;

  private readonly histories = new Map<string, ServiceHistory>();

  private readonly running = new RunningTargets();

  private readonly suspectPlaces = new SuspectPlaces();

  constructor(private readonly context: ForwarderContext) {
    this.placer = new Placer({
      router: context.router,
      clock: context.clock,
      sendTo: (call, choice, cause) => this.sendTo(call, choice, cause),
      takeRepeat: (call) => this.takeRepeat(call),
    });
  }

  /** Runs a call that a caller sent to this host. */
  runEntry(call: Call): Promise<Placed> {
    const history = this.historyOf(call.traits.service);
    history.budget.countCall();
    if (!call.traits.idempotent || call.depth > 0 || call.body.kind === 'stream') {
      return this.placer.place(call, new PlacementState(), 'first');
    }
    return new RepeatableRun(call, this.repeatContext(call, history)).run();
  }

  /** Runs a call on a target that this host owns. */
  async runHere(call: Call, cause: PlacementCause = 'first'): Promise<Placed> {
    const { traits } = call;
    if (!this.context.router.viewIsCurrent()) {
      return Err({ outcome: notRun('view-expired', 'this host is cut off'), target: null });
    }
    const wanted = this.suspectPlaces.traitsFor(this.running.traitsFor(traits));
    const slot = await this.context.router.pool(traits.service).acquire(wanted);
    if (slot.err) return Err({ outcome: slot.val, target: null });
    const { target, reason, candidates } = slot.val;
    if (call.cancellation.cancelled) {
      slot.val.finish({ kind: 'not-sent' });
      return Err({ outcome: notRun('deadline', 'the call was cancelled'), target: null });
    }
    this.log(call, this.context.hostId, target.target, cause, reason, candidates);
    return this.runOn(call, slot.val);
  }

  private async runOn(call: Call, slot: Slot): Promise<Placed> {
    const { callId, suspect } = call.traits;
    const { target } = slot.target;
    if (suspect !== null && !this.suspectPlaces.begin(target)) {
      slot.finish({ kind: 'not-sent' });
      const outcome = notRun('overloaded', 'another suspect runs on each free target');
      return Err({ outcome, target });
    }
    this.running.begin(callId, target);
    const placed = await attemptCall(call, slot, this.context);
    this.running.end(callId, target);
    if (suspect !== null) this.suspectPlaces.end(target);
    return placed;
  }

  private async sendTo(call: Call, choice: Choice, cause: PlacementCause): Promise<Placed> {
    this.context.metrics.placed(choice.own);
    if (choice.own) return this.runHere(call, cause);
    this.log(call, choice.owner.host.host, '', cause, choice.reason, choice.candidates);
    const end = choice.begin();
    const placed = await relayCall(call, choice, this.context.relay);
    end(placementEnd(call, placed));
    return placed;
  }

  private repeatContext(call: Call, history: ServiceHistory): RepeatContext {
    const targets = this.context.fleet.view()?.sheet.targetsOf.get(call.traits.service);
    return {
      // A second attempt at the same target would only add to its load.
      mayHedge: targets !== undefined && targets.length > 1,
      placer: this.placer,
      clock: this.context.clock,
      history,
      takeRepeat: (repeated) => this.takeRepeat(repeated),
      repeated: (cause) => this.context.metrics.repeated(cause),
    };
  }

  private takeRepeat(call: Call): boolean {
    const { service } = call.traits;
    const percent = this.context.fleet.view()?.sheet.services.get(service)?.retry_percent ?? 0;
    return this.historyOf(service).budget.take(percent, call.depth === 0 ? 1 : DEEP_REPEAT_COST);
  }

  private historyOf(service: string): ServiceHistory {
    let history = this.histories.get(service);
    if (history === undefined) {
      history = new ServiceHistory(this.context.clock);
      this.histories.set(service, history);
    }
    return history;
  }

  private log(
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
