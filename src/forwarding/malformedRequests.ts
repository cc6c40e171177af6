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

/** Refuses requests that Node's parser rejects, and CONNECT; none of them reaches a target. */
export class MalformedRequests {
  /** The latest answer on each connection; an error must not be written into the midst of it. */
  private readonly answers = new WeakMap<Duplex, ServerResponse>();

  constructor(private readonly events: EventLog) {}

  /** Handles the errors of a server's connections. */
  attach(server: Server): void {
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => this.refuse(error, socket));
    server.on('connect', (_request, socket) => {
      writeRawProblem(socket, notRun('method-refused', 'CONNECT is not accepted'));
    });
  }

  /** Notes the answer that is due on a connection. */
  expectAnswer(socket: Duplex, response: ServerResponse): void {
    this.answers.set(socket, response);
  }

  private refuse(error: NodeJS.ErrnoException, socket: Duplex): void {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    this.events.emit(FORWARDING_EVENTS.malformedRequest, { code: error.code });
    const answer = this.answers.get(socket);
    const answering = answer !== undefined && !answer.writableFinished;
    if (answering && (answer.headersSent || answer.req.complete)) {
      socket.destroy();
      return;
    }
    const refusal = REFUSALS[String(error.code)] ?? notRun('bad-request', error.message);
    writeRawProblem(socket, refusal);
  }
}
