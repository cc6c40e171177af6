import { type Duplex } from 'node:stream';

import { type NotRun, problemOf } from '../outcomes';

import { OUTCOME_HEADER } from './headers';

const REASON_PHRASES: Readonly<Record<number, string>> = {
  400: 'Bad Request',
  405: 'Method Not Allowed',
  408: 'Request Timeout',
  413: 'Content Too Large',
  431: 'Request Header Fields Too Large',
};

/** Writes a problem response to a connection whose request was not parsed, and closes it. */
export function writeRawProblem(socket: Duplex, refusal: NotRun): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const { retryAfter, ...problem } = problemOf(refusal);
  const body = JSON.stringify(problem);
  const head = [
    `HTTP/1.1 ${problem.status} ${REASON_PHRASES[problem.status] ?? 'Error'}`,
    'Content-Type: application/problem+json',
    `Content-Length: ${Buffer.byteLength(body)}`,
    `${OUTCOME_HEADER}: ${refusal.kind}`,
    'Connection: close',
  ];
  // Destroyed once the response is flushed: a peer that never closes would keep it open.
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`, () => socket.destroy());
}
