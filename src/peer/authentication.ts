import { createHash, timingSafeEqual } from 'node:crypto';

import { Metadata } from '@grpc/grpc-js';

import { MINIMUM_PROTOCOL_VERSION, PROTOCOL_VERSION } from './protocolVersion';

const SECRET_KEY = 'limpetknot-secret';
const VERSION_KEY = 'limpetknot-protocol';

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/** Creates the call metadata that authenticates this host to its peers. */
export function createAuthenticationMetadata(secret: string): Metadata {
  const metadata = new Metadata();
  metadata.set(SECRET_KEY, secret);
  metadata.set(VERSION_KEY, String(PROTOCOL_VERSION));
  return metadata;
}

/** Returns why a call with `metadata` is refused; null when it comes from a valid peer. */
export function refusalReason(metadata: Metadata, secret: string): string | null {
  const receivedSecret = String(metadata.get(SECRET_KEY)[0] ?? '');
  // Digests have equal lengths, as timingSafeEqual requires; the comparison takes constant time.
  if (!timingSafeEqual(digest(receivedSecret), digest(secret))) return 'wrong secret';
  const version = Number(metadata.get(VERSION_KEY)[0] ?? 0);
  const isSupported = version >= MINIMUM_PROTOCOL_VERSION && version <= PROTOCOL_VERSION;
  return isSupported ? null : `protocol version ${version} is not served`;
}
