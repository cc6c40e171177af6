import { type ServerResponse } from 'node:http';

import { Err, type Result } from 'ts-results';

import { type Fleet } from '../fleet';
import { type DecisionLog } from '../logging';
import { notRun, type NotRun, type OutcomeUnknown } from '../outcomes';
import { type Router } from '../routing';
import { type Clock } from '../runtime';

import { attemptCall } from './attempt';
import { type Call } from './call';
import { type ConnectionPools } from './connectionPools';
import { endToEndHeaders, type HeaderMap } from './headers';
import { relayCall, type RelayContext } from './relay';
import { ResponseSink } from './responseSink';
import { type Answer } from './transmission';
import { writeProblem } from './writeProblem';

/** Outcome of one placement of a call. */
export type PlacementResult = Result<Answer, NotRun | OutcomeUnknown>;

/** What forwarding needs of the gateway. */
export interface ForwarderContext {
  readonly hostId: string;
  readonly fleet: Fleet;
  readonly router: Router;
  readonly clock: Clock;
  readonly decisions: DecisionLog;
  readonly targetPools: ConnectionPools;
  readonly relay: RelayContext;
}

const LARGEST_PLACEMENTS = 4;

/** Places calls on targets and passes their answers to the callers. */
export class Forwarder {
  constructor(private readonly context: ForwarderContext) {}

  /** Runs a call that a caller sent to this host. */
  async runEntry(call: Call): Promise<PlacementResult> {
    const excluded = new Set<string>();
    let last: PlacementResult = Err(notRun('no-usable-target', 'the service has no usable target'));
    for (let placement = 0; placement < LARGEST_PLACEMENTS; placement += 1) {
      const choice = this.context.router.choose(call.traits, excluded);
      if (choice === null) return last;
      if (!choice.own) this.log(call, choice.owner.host.host, '', choice.reason, choice.candidates);
      last = choice.own
        ? await this.runHere(call)
        : await relayCall(call, choice, this.context.relay);
      if (last.ok || last.val.kind !== 'not-run') return last;
      excluded.add(choice.owner.host.host);
    }
    return last;
  }

  /** Runs a call on a target that this host owns. */
  async runHere(call: Call): Promise<PlacementResult> {
    const slot = await this.context.router.pool(call.traits.service).acquire(call.traits);
    if (slot.err) return slot;
    const { target, reason, candidates } = slot.val;
    this.log(call, this.context.hostId, target.target, reason, candidates);
    return attemptCall(call, slot.val, this.context.targetPools, this.context.clock);
  }

  /** Ends a call: streams its answer, or writes the problem. */
  answer(call: Call, result: PlacementResult, response: ServerResponse, extra: HeaderMap): void {
    if (result.err) {
      for (const [name, value] of Object.entries(extra)) {
        if (!response.headersSent) response.setHeader(name, value);
      }
      writeProblem(response, result.val, call.traits.callId);
      return;
    }
    const answer = result.val;
    if (response.destroyed) {
      answer.cancel();
      return;
    }
    response.writeHead(answer.status, {
      ...endToEndHeaders(answer.headers),
      'proxy-status': 'limpetknot',
      ...extra,
    });
    answer.streamTo(new ResponseSink(response, () => {}));
  }

  private log(call: Call, host: string, target: string, reason: string, candidates: number): void {
    const { callId, service, class: priority } = call.traits;
    this.context.decisions.record({
      callId,
      service,
      class: priority,
      host,
      target,
      reason,
      candidates,
    });
  }
}
