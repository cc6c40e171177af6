import { type IncomingMessage } from 'node:http';

import { Err, Ok, type Result } from 'ts-results';

import { notRun, type NotRun } from '../outcomes';

import { type CallBody } from './callBody';

// Bodies up to this size are read whole before a target is chosen: a body that the caller cuts
// off then never reaches a target, and a call that did not run can be sent to another target.
const BUFFERED_BODY_BYTES = 64 * 1024;

function tooLarge(limit: number): NotRun {
  return notRun('too-large', `the body is larger than ${limit} bytes`);
}

async function readWhole(
  request: IncomingMessage,
  limit: number,
): Promise<Result<CallBody, NotRun>> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > limit) return Err(tooLarge(limit));
      chunks.push(chunk);
    }
  } catch {
    return Err(notRun('bad-request', 'the body ended before its declared end'));
  }
  const bytes = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks, size);
  return Ok({ kind: 'buffered', bytes });
}

/** Reads the body of a call, or prepares it for streaming when it is long. */
export function readBody(
  request: IncomingMessage,
  limit: number,
): Promise<Result<CallBody, NotRun>> | Result<CallBody, NotRun> {
  const declared = request.headers['content-length'];
  const chunked = request.headers['transfer-encoding'] !== undefined;
  if (declared === undefined && !chunked) return Ok({ kind: 'none' });
  const length = declared === undefined ? null : Number(declared);
  if (length === 0) return Ok({ kind: 'none' });
  if (length !== null && length > limit) return Err(tooLarge(limit));
  if (length === null || length <= BUFFERED_BODY_BYTES) {
    return readWhole(request, Math.min(limit, length === null ? limit : BUFFERED_BODY_BYTES));
  }
  return Ok({ kind: 'stream', stream: request, length });
}
