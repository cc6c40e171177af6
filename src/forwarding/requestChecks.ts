import { type IncomingMessage } from 'node:http';

import { notRun, type NotRun } from '../outcomes';

function countHost(rawHeaders: readonly string[]): number {
  let count = 0;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index]!;
    if (name.length === 4 && name.toLowerCase() === 'host') count += 1;
  }
  return count;
}

function badRequest(detail: string): NotRun {
  return notRun('bad-request', detail);
}

/** Refuses requests that Node's parser accepts but a gateway must not forward; null if valid. */
export function checkRequest(request: IncomingMessage): NotRun | null {
  const { headers } = request;
  // An HTTP/1.0 caller cannot detect that a response without a length was truncated.
  if (request.httpVersion !== '1.1') return badRequest('HTTP/1.1 is required');
  if (countHost(request.rawHeaders) !== 1) return badRequest('exactly one Host header is required');
  const coding = headers['transfer-encoding'];
  if (coding !== undefined && coding.toLowerCase() !== 'chunked') {
    return badRequest('chunked is the only transfer coding that is accepted');
  }
  if (headers.upgrade !== undefined) return badRequest('protocol upgrades are not accepted');
  return null;
}
