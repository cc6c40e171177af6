import { createHash } from 'node:crypto';

/** Properties that identify a call across retries. */
export interface CallIdentity {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  /** Idempotency-Key; null if the call has none. */
  readonly key: string | null;
  /** The complete body if it is buffered; null if there is none or it is streamed. */
  readonly body: Buffer | null;
}

// Longer bodies are distinguished by their first bytes and their length.
const MAX_DIGESTED_BYTES = 64 * 1024;

/** Identical for all retries of a call: its key, or a digest of service, method, path and body. */
export function fingerprintOf(call: CallIdentity): string {
  if (call.key !== null) return `key:${call.service}:${call.key}`;
  const hash = createHash('sha256').update(`${call.service}\n${call.method}\n${call.path}\n`);
  if (call.body !== null) {
    hash.update(`${call.body.length}\n`).update(call.body.subarray(0, MAX_DIGESTED_BYTES));
  }
  return `digest:${hash.digest('hex')}`;
}

/** Properties that a call must share with a known crash before its body is digested. */
export function routeOf(call: Pick<CallIdentity, 'service' | 'method' | 'path'>): string {
  return `${call.service} ${call.method} ${call.path}`;
}
