import { createHash } from 'node:crypto';

/** What identifies a call that is sent again. */
export interface CallIdentity {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  /** Idempotency-Key; null when the call has none. */
  readonly key: string | null;
  /** The whole body when it is buffered; null when there is none or it is streamed. */
  readonly body: Buffer | null;
}

// Longer bodies are told apart by their start and their length.
const LARGEST_DIGESTED_BYTES = 64 * 1024;

/** The same for each repeat of a call: its key, or the digest of service, method, path and body. */
export function fingerprintOf(call: CallIdentity): string {
  if (call.key !== null) return `key:${call.service}:${call.key}`;
  const hash = createHash('sha256').update(`${call.service}\n${call.method}\n${call.path}\n`);
  if (call.body !== null) {
    hash.update(`${call.body.length}\n`).update(call.body.subarray(0, LARGEST_DIGESTED_BYTES));
  }
  return `digest:${hash.digest('hex')}`;
}

/** What calls must share with a known death before their bodies are digested. */
export function routeOf(call: Pick<CallIdentity, 'service' | 'method' | 'path'>): string {
  return `${call.service} ${call.method} ${call.path}`;
}
