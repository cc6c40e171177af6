import { createHash, timingSafeEqual } from 'node:crypto';
import { BlockList, isIP } from 'node:net';

import { type ProblemBody } from './problemBody';
import { problem } from './problems';

/** What a request shows about its sender. */
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

function isLocalName(host: string): boolean {
  const name = host.replace(/:\d+$/, '').replace(/^\[(.*)\]$/, '$1');
  return name === 'localhost' || isLoopback(name);
}

/** Returns null when the sender may read the status and give orders, else the refusal. */
export function authorize(token: string, credentials: Credentials): ProblemBody | null {
  if (token !== '') {
    const given = digest(credentials.authorization);
    if (timingSafeEqual(given, digest(`Bearer ${token}`))) return null;
    return problem(401, 'unauthorized', 'a valid bearer token is needed');
  }
  if (!isLoopback(credentials.remoteAddress)) {
    return problem(403, 'forbidden', 'without a token only loopback addresses are admitted');
  }
  // A web page can point its own host name at 127.0.0.1; the browser then sends that name.
  if (!isLocalName(credentials.host)) {
    return problem(403, 'forbidden', 'the Host header must name a loopback address');
  }
  return null;
}
