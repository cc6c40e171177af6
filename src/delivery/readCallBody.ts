import { type IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';

import { ByteCollector } from './byteCollector';
import { type MemoryShare } from './memoryShare';

// Bodies up to this size are buffered, so that a call can be retried at another target.
const MAX_BUFFERED_BODY_BYTES = 256 * 1024;

/**
 * `left`: the caller closed its connection; `tooLarge`: the body exceeds the limit; `noMemory`: the
 * calls of this host hold as many bytes as they may.
 */
export type CallBody = Buffer | Readable | null | 'left' | 'tooLarge' | 'noMemory';

async function* concatenate(
  start: readonly Buffer[],
  rest: AsyncIterator<Buffer>,
  size: number,
  limit: number,
): AsyncGenerator<Buffer> {
  yield* start;
  let total = size;
  for (let next = await rest.next(); next.done !== true; next = await rest.next()) {
    total += next.value.length;
    if (total > limit) throw new Error('the body is larger than allowed');
    yield next.value;
  }
}

/** Reads a body of up to `limit` bytes: buffered when it is short, as a stream when it is long. */
export async function readCallBody(
  request: IncomingMessage,
  limit: number,
  memory: MemoryShare,
): Promise<CallBody> {
  const { headers } = request;
  const declaredLength = headers['content-length'];
  if (declaredLength === undefined && headers['transfer-encoding'] === undefined) return null;
  if (declaredLength !== undefined && Number(declaredLength) > limit) return 'tooLarge';
  const iterator = request[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
  const body = new ByteCollector();
  try {
    for (let next = await iterator.next(); next.done !== true; next = await iterator.next()) {
      if (!memory.tryGrow(next.value.length)) return 'noMemory';
      body.append(next.value);
      const size = body.length();
      if (size > limit) return 'tooLarge';
      if (size > MAX_BUFFERED_BODY_BYTES)
        return Readable.from(concatenate(body.take(), iterator, size, limit));
    }
  } catch {
    // The request stream fails only when the caller closes the connection.
    return 'left';
  }
  return Buffer.concat(body.take());
}
