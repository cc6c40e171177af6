import { type Server, type ServerResponse } from 'node:http';
import { type Duplex } from 'node:stream';

import { type EventLog } from '../logging';
import { notRun, type NotRun } from '../outcomes';

import { FORWARDING_EVENTS } from './events';
import { writeRawProblem } from './rawProblem';

const REFUSALS: Readonly<Record<string, NotRun>> = {
  HPE_HEADER_OVERFLOW: notRun('headers-too-large', 'the request headers are too large'),
  HPE_CHUNK_EXTENSIONS_OVERFLOW: notRun('too-large', 'the chunk extensions are too large'),
  ERR_HTTP_REQUEST_TIMEOUT: notRun('slow-request', 'the request did not arrive in time'),
};

/** Refuses CONNECT and requests that Node's parser rejects; none of them reaches a target. */
export class MalformedRequests {
  /** Most recent response on each connection; an error must not be written in the middle of it. */
  private readonly responses = new WeakMap<Duplex, ServerResponse>();

  constructor(private readonly events: EventLog) {}

  /** Handles the parser errors and CONNECT requests of a server. */
  attach(server: Server): void {
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => this.refuse(error, socket));
    server.on('connect', (_request, socket) => {
      writeRawProblem(socket, notRun('method-refused', 'CONNECT is not accepted'));
    });
  }

  /** Records the pending response of a connection. */
  trackResponse(socket: Duplex, response: ServerResponse): void {
    this.responses.set(socket, response);
  }

  private refuse(error: NodeJS.ErrnoException, socket: Duplex): void {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    this.events.emit(FORWARDING_EVENTS.malformedRequest, { code: error.code });
    const response = this.responses.get(socket);
    const isAnswering = response !== undefined && !response.writableFinished;
    if (isAnswering && (response.headersSent || response.req.complete)) {
      socket.destroy();
      return;
    }
    const refusal = REFUSALS[String(error.code)] ?? notRun('bad-request', error.message);
    writeRawProblem(socket, refusal);
  }
}
