import { createHash, timingSafeEqual } from 'node:crypto';
import { BlockList, isIP } from 'node:net';

import { type ProblemBody } from './problemBody';
import { problem } from './problems';

/** Properties of a request that authorize its sender. */
export interface Credentials {
  readonly remoteAddress: string;
  /** Authorization header; empty when absent. */
  readonly authorization: string;
  /** Host header; empty when absent. */
  readonly host: string;
}

const LOOPBACK = new BlockList();
LOOPBACK.addSubnet('127.0.0.0', 8, 'ipv4');
LOOPBACK.addAddress('::1', 'ipv6');

function isLoopback(address: string): boolean {
  const version = isIP(address);
  if (version === 0) return false;
  return LOOPBACK.check(address, version === 4 ? 'ipv4' : 'ipv6');
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

function isLoopbackName(host: string): boolean {
  const name = host.replace(/:\d+$/, '').replace(/^\[(.*)\]$/, '$1');
  return name === 'localhost' || isLoopback(name);
}

/** Returns null when the sender may read the status and submit orders, else the refusal. */
export function authorize(token: string, credentials: Credentials): ProblemBody | null {
  if (token !== '') {
    const presented = digest(credentials.authorization);
    if (timingSafeEqual(presented, digest(`Bearer ${token}`))) return null;
    return problem(401, 'unauthorized', 'a valid bearer token is needed');
  }
  if (!isLoopback(credentials.remoteAddress)) {
    return problem(403, 'forbidden', 'without a token only loopback addresses are admitted');
  }
  // DNS rebinding: a web page can resolve its own host name to 127.0.0.1; the browser then sends
  // that name.
  if (!isLoopbackName(credentials.host)) {
    return problem(403, 'forbidden', 'the Host header must name a loopback address');
  }
  return null;
}
