import { timingSafeEqual } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

import { type EventLog } from '../logging';
import { notRun } from '../outcomes';

import { type Call } from './call';
import { type CallBody } from './callBody';
import { FORWARDING_EVENTS } from './events';
import { type Forwarder, type ForwarderContext } from './forwarder';
import {
  CALL_ID_HEADER,
  CLASS_HEADER,
  endToEndHeaders,
  IDEMPOTENT_HEADER,
  OWNER_STATE_HEADER,
  PEER_SECRET_HEADER,
  SERVICE_HEADER,
  TIMEOUT_HEADER,
} from './headers';
import { writeOwnerState } from './relay';
import { writeProblem } from './writeProblem';

const HEADER_LIMIT_BYTES = 32 * 1024;
const IDLE_LIMIT_MS = 60_000;

function textHeader(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}

/** Accepts calls that other hosts relay to this one. */
export class RelayListener {
  readonly server: Server;

  private readonly expected: Buffer;

  constructor(
    private readonly context: ForwarderContext,
    private readonly forwarder: Forwarder,
    private readonly events: EventLog,
  ) {
    this.expected = Buffer.from(context.relay.peerSecret);
    this.server = createServer(
      { maxHeaderSize: HEADER_LIMIT_BYTES, keepAliveTimeout: IDLE_LIMIT_MS, requestTimeout: 0 },
      (request, response) => {
        void this.handle(request, response);
      },
    );
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const callId = textHeader(request, CALL_ID_HEADER);
    if (!this.isPeer(request)) {
      this.events.emit(FORWARDING_EVENTS.strangerRelay, { from: request.socket.remoteAddress });
      writeProblem(response, notRun('bad-request', 'the peer secret is missing or wrong'), callId);
      return;
    }
    const call = this.readCall(request, response, callId);
    const result = await this.forwarder.runHere(call);
    const state = this.context.router.pool(call.traits.service).state();
    this.forwarder.answer(call, result, response, { [OWNER_STATE_HEADER]: writeOwnerState(state) });
  }

  private isPeer(request: IncomingMessage): boolean {
    const given = Buffer.from(textHeader(request, PEER_SECRET_HEADER));
    return given.length === this.expected.length && timingSafeEqual(given, this.expected);
  }

  private readCall(request: IncomingMessage, response: ServerResponse, callId: string): Call {
    const callerGone = new AbortController();
    response.once('close', () => callerGone.abort());
    return {
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      headers: endToEndHeaders(request.headers),
      body: this.bodyOf(request),
      signal: callerGone.signal,
      traits: {
        callId,
        service: textHeader(request, SERVICE_HEADER),
        class: textHeader(request, CLASS_HEADER),
        idempotent: textHeader(request, IDEMPOTENT_HEADER) === 'yes',
        deadline: this.context.clock.now() + Number(textHeader(request, TIMEOUT_HEADER)),
        suspect: null,
        avoid: new Set(),
      },
    };
  }

  private bodyOf(request: IncomingMessage): CallBody {
    const declared = request.headers['content-length'];
    if (declared === undefined && request.headers['transfer-encoding'] === undefined) {
      return { kind: 'none' };
    }
    return {
      kind: 'stream',
      stream: request,
      length: declared === undefined ? null : Number(declared),
    };
  }
}
