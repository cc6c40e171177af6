import { randomUUID } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

import { Err, type Result } from 'ts-results';

import { type FleetView } from '../fleet';
import { type EventLog } from '../logging';
import { notRun, type NotRun, outcomeUnknown } from '../outcomes';

import { answerCall } from './answerCall';
import { type Call } from './call';
import { type CallBody } from './callBody';
import { Cancellation } from './cancellation';
import { writeBaggage } from './depth';
import { discardRequestBody } from './discardRequestBody';
import { type CallHandler } from './callHandler';
import { FORWARDING_EVENTS } from './events';
import { type ForwarderContext } from './forwarderContext';
import { endToEndHeaders } from './headers';
import { MalformedRequests } from './malformedRequests';
import { checkDeclaredLength, readBody } from './readBody';
import { readHead, type RequestHead } from './requestHead';
import { DEFAULT_REQUEST_LIMITS, type RequestLimits } from './requestLimits';
import { writeProblem } from './writeProblem';

const BYTES_PER_KB = 1024;

/** HTTP server for calls from callers. */
export class CallerListener {
  readonly server: Server;

  private readonly malformedRequests: MalformedRequests;

  private isClosing = false;

  constructor(
    private readonly context: ForwarderContext,
    private readonly callHandler: CallHandler,
    private readonly events: EventLog,
    private readonly limits: RequestLimits = DEFAULT_REQUEST_LIMITS,
  ) {
    this.malformedRequests = new MalformedRequests(events);
    this.server = createServer({ ...limits, insecureHTTPParser: false, requireHostHeader: false });
    this.server.on('request', (request, response) => this.accept(request, response, false));
    this.server.on('checkContinue', (request, response) => this.accept(request, response, true));
    this.server.on('checkExpectation', (request, response) => {
      this.refuse(request, response, notRun('bad-request', 'the expectation is not known'), '');
    });
    this.malformedRequests.attach(this.server);
  }

  /** Makes each following answer close its caller's connection. */
  closeConnectionsWithAnswers(): void {
    this.isClosing = true;
  }

  private accept(
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): void {
    this.malformedRequests.trackResponse(request.socket, response);
    if (this.isClosing) response.shouldKeepAlive = false;
    const callId = randomUUID();
    const { clock, fleet, loadShedder } = this.context;
    const view = fleet.view();
    const head = this.readHead(request, view, callId);
    if (head.err) {
      this.refuse(request, response, head.val, callId);
      return;
    }
    const refusal = loadShedder.admit(view!.sheet, head.val.traits.class);
    if (refusal !== null) {
      this.refuse(request, response, refusal, callId);
      return;
    }
    const cancellation = new Cancellation();
    const startedAt = clock.now();
    response.once('close', () => {
      loadShedder.release();
      this.context.metrics.recordDuration(clock.now() - startedAt);
      if (!response.writableFinished) cancellation.cancel();
      discardRequestBody(request, clock, this.limits.lingerMs);
    });
    void this.handle(request, response, head.val, cancellation, expectsContinue);
  }

  private readHead(
    request: IncomingMessage,
    view: FleetView | null,
    callId: string,
  ): Result<RequestHead, NotRun> {
    if (view === null) return Err(notRun('view-expired', 'this host has no configuration yet'));
    if (!this.context.router.viewIsCurrent()) {
      return Err(notRun('view-expired', 'this host is cut off'));
    }
    return readHead(request, view, callId, this.context.clock);
  }

  private async handle(
    request: IncomingMessage,
    response: ServerResponse,
    head: RequestHead,
    cancellation: Cancellation,
    expectsContinue: boolean,
  ): Promise<void> {
    const limitBytes = head.service.body_limit_kb * BYTES_PER_KB;
    const tooLarge = checkDeclaredLength(request, limitBytes);
    if (tooLarge !== null) {
      this.refuse(request, response, tooLarge, head.traits.callId);
      return;
    }
    if (expectsContinue) response.writeContinue();
    const read = readBody(request, limitBytes, this.context.clock, head.traits.deadline);
    const body = read instanceof Promise ? await read : read;
    if (body.err) {
      this.refuse(request, response, body.val, head.traits.callId);
      return;
    }
    await this.runCall(this.makeCall(request, head, body.val, cancellation), response);
  }

  private async runCall(call: Call, response: ServerResponse): Promise<void> {
    try {
      answerCall(call, await this.callHandler(call), response, {});
    } catch (error) {
      this.events.emit(FORWARDING_EVENTS.callFailed, { callId: call.traits.callId, error });
      if (call.record.outcome !== null) {
        response.destroy();
        return;
      }
      const outcome = outcomeUnknown('connection-lost', 'the gateway failed to handle the call');
      answerCall(call, Err({ outcome, target: null }), response, {});
    }
  }

  private makeCall(
    request: IncomingMessage,
    head: RequestHead,
    body: CallBody,
    cancellation: Cancellation,
  ): Call {
    return {
      method: request.method ?? 'GET',
      path: head.address.path,
      headers: endToEndHeaders(request.headers),
      body,
      baggage: writeBaggage(request.headers.baggage as string | undefined, head.depth),
      depth: head.depth,
      cancellation,
      record: this.context.recorder.begin(head.traits.idempotent),
      traits: head.traits,
    };
  }

  /** Refuses a request before it becomes a call; the rest of its body is read and discarded. */
  private refuse(
    request: IncomingMessage,
    response: ServerResponse,
    refusal: NotRun,
    callId: string,
  ): void {
    this.context.recorder.begin(true).end(response.destroyed ? 'caller-gone' : 'not-run');
    writeProblem(response, refusal, callId);
    discardRequestBody(request, this.context.clock, this.limits.lingerMs);
  }
}
