import { randomUUID } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

import { Err, Ok, type Result } from 'ts-results';

import { type FleetView } from '../fleet';
import { notRun, type NotRun } from '../outcomes';

import { type Call } from './call';
import { type Forwarder, type ForwarderContext } from './forwarder';
import { endToEndHeaders, TIMEOUT_HEADER } from './headers';
import { readBody } from './readBody';
import { writeProblem } from './writeProblem';

const BYTES_PER_KB = 1024;
const HEADER_LIMIT_BYTES = 16 * BYTES_PER_KB;
const HEADER_TIME_LIMIT_MS = 10_000;
const REQUEST_TIME_LIMIT_MS = 120_000;
const IDLE_LIMIT_MS = 60_000;

interface Address {
  readonly service: string;
  readonly path: string;
}

/** Splits `/service/rest?query` into the service and the path behind it. */
function readAddress(url: string): Address {
  const end = url.slice(1).search(/[/?]/);
  if (end === -1) return { service: url.slice(1), path: '/' };
  const rest = url.slice(1 + end);
  return { service: url.slice(1, 1 + end), path: rest.startsWith('?') ? `/${rest}` : rest };
}

function readTimeLimit(request: IncomingMessage, longest: number): Result<number, NotRun> {
  const given = request.headers[TIMEOUT_HEADER];
  if (given === undefined) return Ok(longest);
  if (typeof given !== 'string' || !/^\d{1,9}$/.test(given)) {
    return Err(notRun('bad-request', `${TIMEOUT_HEADER} must be a whole number of milliseconds`));
  }
  return Ok(Math.min(longest, Number(given)));
}

/** Accepts calls from callers. */
export class CallerListener {
  readonly server: Server;

  constructor(
    private readonly context: ForwarderContext,
    private readonly forwarder: Forwarder,
  ) {
    this.server = createServer(
      {
        maxHeaderSize: HEADER_LIMIT_BYTES,
        headersTimeout: HEADER_TIME_LIMIT_MS,
        requestTimeout: REQUEST_TIME_LIMIT_MS,
        keepAliveTimeout: IDLE_LIMIT_MS,
        insecureHTTPParser: false,
      },
      (request, response) => {
        void this.handle(request, response);
      },
    );
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const callId = randomUUID();
    const call = await this.readCall(request, response, callId);
    if (call.err) {
      writeProblem(response, call.val, callId);
      return;
    }
    const result = await this.forwarder.runEntry(call.val);
    this.forwarder.answer(call.val, result, response, {});
  }

  private async readCall(
    request: IncomingMessage,
    response: ServerResponse,
    callId: string,
  ): Promise<Result<Call, NotRun>> {
    const view = this.context.fleet.view();
    if (view === null) return Err(notRun('view-expired', 'this host has no configuration yet'));
    const { service, path } = readAddress(request.url ?? '/');
    const known = view.sheet.services.get(service);
    if (known === undefined) return Err(notRun('unknown-service', `no service '${service}'`));
    const limit = readTimeLimit(request, known.time_limit_ms);
    if (limit.err) return limit;
    const deadline = this.context.clock.now() + limit.val;
    const body = await readBody(request, known.body_limit_kb * BYTES_PER_KB);
    if (body.err) return body;
    const method = request.method ?? 'GET';
    const callerGone = new AbortController();
    response.once('close', () => callerGone.abort());
    return Ok({
      method,
      path,
      headers: endToEndHeaders(request.headers),
      body: body.val,
      signal: callerGone.signal,
      traits: this.traits(view, callId, service, method, path, deadline),
    });
  }

  private traits(
    view: FleetView,
    callId: string,
    service: string,
    method: string,
    path: string,
    deadline: number,
  ): Call['traits'] {
    const operation = view.operations.find(service, method, path);
    return {
      callId,
      service,
      class: operation.class,
      idempotent: operation.idempotent,
      deadline,
      suspect: null,
      avoid: new Set(),
    };
  }
}
