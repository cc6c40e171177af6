import { type IncomingMessage } from 'node:http';

import { Err, Ok, type Result } from 'ts-results';

import { notRun, type NotRun } from '../outcomes';
import { type Clock } from '../runtime';

import { type CallBody } from './callBody';
import { StreamedBody } from './streamedBody';

type BodyResult = Result<CallBody, NotRun>;

// Bodies up to this size are read whole before a target is chosen: a body that the caller cuts
// off then never reaches a target, and a call that did not run can be sent to another target.
const BUFFERED_BODY_BYTES = 64 * 1024;
// A body without a declared length is read whole, since its limit could otherwise be found
// exceeded only after a part of it reached a target.
const LARGEST_CHUNKED_BYTES = 1024 * 1024;

function tooLarge(limit: number): NotRun {
  return notRun('too-large', `the body is larger than ${limit} bytes`);
}

function readWhole(
  request: IncomingMessage,
  limit: number,
  clock: Clock,
  deadline: number,
): Promise<BodyResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const timer = clock.setTimer(deadline, () => {
      resolve(Err(notRun('slow-request', 'the body did not arrive before the deadline')));
    });
    const end = (result: BodyResult) => {
      timer.cancel();
      resolve(result);
    };
    const cutOff = () => end(Err(notRun('bad-request', 'the body ended before its declared end')));
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= limit) chunks.push(chunk);
      else end(Err(tooLarge(limit)));
    });
    request.once('end', () => {
      const bytes = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
      end(Ok({ kind: 'buffered', bytes }));
    });
    request.once('error', cutOff);
    request.once('close', cutOff);
  });
}

/** True when a request announces a body. */
export function hasBody(request: IncomingMessage): boolean {
  const declared = request.headers['content-length'];
  if (declared === undefined) return request.headers['transfer-encoding'] !== undefined;
  return declared !== '0';
}

/** A refusal when the declared length is above `limit`; null otherwise. */
export function checkDeclaredLength(request: IncomingMessage, limit: number): NotRun | null {
  const declared = request.headers['content-length'];
  return declared !== undefined && Number(declared) > limit ? tooLarge(limit) : null;
}

/** Reads the body of a call, or prepares it for streaming when it is long. */
export function readBody(
  request: IncomingMessage,
  limit: number,
  clock: Clock,
  deadline: number,
): Promise<BodyResult> | BodyResult {
  if (!hasBody(request)) return Ok({ kind: 'none' });
  const declared = request.headers['content-length'];
  if (declared === undefined) {
    return readWhole(request, Math.min(limit, LARGEST_CHUNKED_BYTES), clock, deadline);
  }
  const length = Number(declared);
  if (length <= BUFFERED_BODY_BYTES) return readWhole(request, length, clock, deadline);
  return Ok({ kind: 'stream', stream: new StreamedBody(request) });
}
