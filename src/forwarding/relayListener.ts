import { timingSafeEqual } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

import { Err } from 'ts-results';

import { type EventLog } from '../logging';
import { notRun, type NotRun, OutcomeRecorder, outcomeUnknown } from '../outcomes';
import { type CallTraits } from '../routing';

import { answerCall } from './answerCall';
import { type Call } from './call';
import { type CallBody } from './callBody';
import { Cancellation } from './cancellation';
import { discardRequestBody } from './discardRequestBody';
import { FORWARDING_EVENTS } from './events';
import { type Forwarder } from './forwarder';
import { type ForwarderContext } from './forwarderContext';
import {
  CALL_ID_HEADER,
  endToEndHeaders,
  ENTRY_HEADER,
  type HeaderMap,
  MEDIAN_HEADER,
  OWNER_STATE_HEADER,
  PEER_SECRET_HEADER,
  TARGET_HEADER,
} from './headers';
import { writeOwnerState } from './ownerState';
import { type PlacementResult } from './placementResult';
import { readRelayedTraits } from './readRelayedTraits';
import { readBody } from './readBody';
import { writeProblem } from './writeProblem';

const MAX_HEADER_BYTES = 32 * 1024;
const IDLE_TIMEOUT_MS = 60_000;
const LINGER_MS = 1000;

/** HTTP server for calls that other hosts relay to this one. */
export class RelayListener {
  readonly server: Server;

  private readonly secret: Buffer;

  private readonly recorder: OutcomeRecorder;

  constructor(
    private readonly context: ForwarderContext,
    private readonly forwarder: Forwarder,
    private readonly events: EventLog,
  ) {
    this.secret = Buffer.from(context.relay.peerSecret);
    // Outcomes of relayed calls are counted by the entry host; only violations are counted here.
    this.recorder = new OutcomeRecorder((violation) => context.recorder.recordViolation(violation));
    this.server = createServer(
      { maxHeaderSize: MAX_HEADER_BYTES, keepAliveTimeout: IDLE_TIMEOUT_MS, requestTimeout: 0 },
      (request, response) => this.accept(request, response),
    );
  }

  private accept(request: IncomingMessage, response: ServerResponse): void {
    const callId = String(request.headers[CALL_ID_HEADER] ?? '');
    if (!this.isPeer(request)) {
      this.events.emit(FORWARDING_EVENTS.unauthenticatedRelay, {
        from: request.socket.remoteAddress,
      });
      writeProblem(response, notRun('bad-request', 'the peer secret is missing or wrong'), callId);
      return;
    }
    const traits = readRelayedTraits(request.headers, callId, this.context.clock);
    this.applyMedian(request, traits.service);
    const refusal = this.admit(traits);
    if (refusal !== null) {
      writeProblem(response, refusal, callId, this.ownerStateHeaders(traits.service));
      return;
    }
    const cancellation = new Cancellation();
    response.once('close', () => {
      this.context.loadShedder.release();
      if (!response.writableFinished) cancellation.cancel();
      discardRequestBody(request, this.context.clock, LINGER_MS);
    });
    void this.handle(request, response, traits, cancellation);
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
    traits: CallTraits,
    cancellation: Cancellation,
  ): Promise<void> {
    const limitBytes = Number.POSITIVE_INFINITY;
    const read = readBody(request, limitBytes, this.context.clock, traits.deadline);
    const body = read instanceof Promise ? await read : read;
    if (body.err) {
      writeProblem(response, body.val, traits.callId, this.ownerStateHeaders(traits.service));
      return;
    }
    await this.runCall(this.makeCall(request, traits, body.val, cancellation), response);
  }

  private admit(traits: CallTraits): NotRun | null {
    const view = this.context.fleet.view();
    if (view === null || !this.context.router.viewIsCurrent()) {
      return notRun('view-expired', 'the owner is cut off');
    }
    if (!view.sheet.services.has(traits.service)) {
      return notRun('no-usable-target', 'the owner does not know the service');
    }
    return this.context.loadShedder.admit(view.sheet, traits.class);
  }

  private async runCall(call: Call, response: ServerResponse): Promise<void> {
    try {
      const result = await this.forwarder.runOnOwnTarget(call);
      answerCall(call, result, response, this.answerHeaders(call, result));
    } catch (error) {
      this.events.emit(FORWARDING_EVENTS.callFailed, { callId: call.traits.callId, error });
      if (call.record.outcome !== null) {
        response.destroy();
        return;
      }
      const outcome = outcomeUnknown('connection-lost', 'the owner failed to handle the call');
      answerCall(call, Err({ outcome, target: null }), response, {});
    }
  }

  private applyMedian(request: IncomingMessage, service: string): void {
    const medianMs = Number(request.headers[MEDIAN_HEADER]);
    const entry = request.headers[ENTRY_HEADER];
    if (!(medianMs > 0) || typeof entry !== 'string') return;
    this.context.router.applyMedian(service, entry, medianMs);
  }

  private ownerStateHeaders(service: string): HeaderMap {
    if (!this.context.fleet.view()?.sheet.services.has(service)) return {};
    return { [OWNER_STATE_HEADER]: writeOwnerState(this.context.router.pool(service).state()) };
  }

  private answerHeaders(call: Call, result: PlacementResult): HeaderMap {
    const headers = this.ownerStateHeaders(call.traits.service);
    const { target } = result.val;
    if (target !== null) headers[TARGET_HEADER] = target;
    return headers;
  }

  private isPeer(request: IncomingMessage): boolean {
    const given = Buffer.from(String(request.headers[PEER_SECRET_HEADER] ?? ''));
    return given.length === this.secret.length && timingSafeEqual(given, this.secret);
  }

  private makeCall(
    request: IncomingMessage,
    traits: CallTraits,
    body: CallBody,
    cancellation: Cancellation,
  ): Call {
    return {
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: endToEndHeaders(request.headers),
      body,
      baggage: String(request.headers.baggage ?? ''),
      depth: 0,
      cancellation,
      record: this.recorder.begin(traits.idempotent),
      traits,
    };
  }
}
