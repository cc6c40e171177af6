import { createHash, timingSafeEqual } from 'node:crypto';

import { Metadata } from '@grpc/grpc-js';

import { MINIMUM_PROTOCOL, PROTOCOL_VERSION } from './protocolVersion';

const SECRET_KEY = 'limpetknot-secret';
const VERSION_KEY = 'limpetknot-protocol';

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/** Metadata that authenticates this host at its peers. */
export function credentialsOf(secret: string): Metadata {
  const metadata = new Metadata();
  metadata.set(SECRET_KEY, secret);
  metadata.set(VERSION_KEY, String(PROTOCOL_VERSION));
  return metadata;
}

/** Why the sender of `metadata` is refused; null when it is a peer. */
export function refusalOf(metadata: Metadata, secret: string): string | null {
  const given = String(metadata.get(SECRET_KEY)[0] ?? '');
  // Digests have equal lengths, so the comparison takes the same time for each wrong secret.
  if (!timingSafeEqual(digest(given), digest(secret))) return 'wrong secret';
  const version = Number(metadata.get(VERSION_KEY)[0] ?? 0);
  const served = version >= MINIMUM_PROTOCOL && version <= PROTOCOL_VERSION;
  return served ? null : `protocol version ${version} is not served`;
}
