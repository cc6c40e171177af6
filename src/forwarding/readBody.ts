import { type IncomingMessage } from 'node:http';

import { Err, Ok, type Result } from 'ts-results';

import { notRun, type NotRun } from '../outcomes';
import { type Clock } from '../runtime';

import { type CallBody } from './callBody';
import { StreamedBody } from './streamedBody';

type BodyResult = Result<CallBody, NotRun>;

// Bodies up to this size are buffered before a target is chosen, so that a truncated body never
// reaches a target and a call that did not run can be sent to another target.
const MAX_BUFFERED_BODY_BYTES = 64 * 1024;
// A body without a declared length is always buffered, up to this size or a smaller limit of its
// service: if it were streamed, a part of it would have reached a target before it turns out to
// exceed the limit. The caller listener checks a declared length before it reads the body.
const MAX_CHUNKED_BODY_BYTES = 1024 * 1024;

function tooLarge(limitBytes: number): NotRun {
  return notRun('too-large', `the body is larger than ${limitBytes} bytes`);
}

function bufferBody(
  request: IncomingMessage,
  limitBytes: number,
  clock: Clock,
  deadline: number,
): Promise<BodyResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    const timer = clock.setTimer(deadline, () => {
      resolve(Err(notRun('slow-request', 'the body did not arrive before the deadline')));
    });
    const finish = (result: BodyResult) => {
      timer.cancel();
      resolve(result);
    };
    const onTruncated = () =>
      finish(Err(notRun('bad-request', 'the body ended before its declared end')));
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes <= limitBytes) chunks.push(chunk);
      else finish(Err(tooLarge(limitBytes)));
    });
    request.once('end', () => {
      const bytes = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
      finish(Ok({ kind: 'buffered', bytes }));
    });
    request.once('error', onTruncated);
    request.once('close', onTruncated);
  });
}

/** True when the headers of a request announce a body. */
export function hasBody(request: IncomingMessage): boolean {
  const declared = request.headers['content-length'];
  if (declared === undefined) return request.headers['transfer-encoding'] !== undefined;
  return declared !== '0';
}

/** Returns a refusal when the declared length exceeds the limit, null otherwise. */
export function checkDeclaredLength(request: IncomingMessage, limitBytes: number): NotRun | null {
  const declared = request.headers['content-length'];
  return declared !== undefined && Number(declared) > limitBytes ? tooLarge(limitBytes) : null;
}

/** Buffers the body of a call, or prepares a large one for streaming. */
export function readBody(
  request: IncomingMessage,
  limitBytes: number,
  clock: Clock,
  deadline: number,
): Promise<BodyResult> | BodyResult {
  if (!hasBody(request)) return Ok({ kind: 'none' });
  const declared = request.headers['content-length'];
  if (declared === undefined) {
    return bufferBody(request, Math.min(limitBytes, MAX_CHUNKED_BODY_BYTES), clock, deadline);
  }
  const length = Number(declared);
  if (length <= MAX_BUFFERED_BODY_BYTES) return bufferBody(request, length, clock, deadline);
  return Ok({ kind: 'stream', stream: new StreamedBody(request) });
}
