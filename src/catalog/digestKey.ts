import { createHash } from 'node:crypto';

// 16 of 32 bytes: two of a million keys share such a digest with a probability below 1e-26.
const DIGEST_BYTES = 16;

/** Digest under which a caller's key is held and compared; the key itself is not kept. */
export function digestKey(key: string): string {
  const digest = createHash('sha256').update(key, 'utf8').digest();
  return digest.subarray(0, DIGEST_BYTES).toString('base64url');
}
