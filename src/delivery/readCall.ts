import { type IncomingMessage } from 'node:http';

import { type Catalog, type Route } from '../catalog';

import { type CallProtocol } from './callProtocol';
import { endToEndHeaders } from './endToEndHeaders';
import { type IncomingCall } from './incomingCall';
import { readCallBody } from './readCallBody';

// The final answer of this host reaches a caller before the caller stops waiting.
const ANSWER_MARGIN_MS = 8;

/** A request that was read but cannot be forwarded. */
export interface UnreadableCall {
  readonly status: 400 | 413;
  readonly detail: string;
}

/** What is known of a call before its body is read. */
export interface CallStart {
  readonly id: string;
  readonly route: Route;
  readonly service: string;
  readonly arrivedAt: number;
  readonly catalog: Catalog;
}

function timeLeft(request: IncomingMessage, protocol: CallProtocol): number {
  const value = Number(request.headers[protocol.timeLeftHeader]);
  return Number.isFinite(value) && value > 0 ? value : Infinity;
}

/** Reads the rest of a request; null when its caller left before the end. */
export async function readCall(
  request: IncomingMessage,
  start: CallStart,
  protocol: CallProtocol,
): Promise<IncomingCall | UnreadableCall | null> {
  const { id, route, service, arrivedAt, catalog } = start;
  const body = await readCallBody(request, catalog.configuration!.limits.bodyBytes);
  if (body === 'left') return null;
  if (body === 'tooLarge') return { status: 413, detail: 'the body is larger than allowed' };
  const left = timeLeft(request, protocol);
  const callerDeadline = arrivedAt + left;
  return {
    id,
    method: request.method!,
    path: request.url!,
    headers: endToEndHeaders(request.rawHeaders, protocol),
    body,
    route,
    service,
    arrivedAt,
    deadline: Math.min(arrivedAt + route.timeLimitMs, callerDeadline - ANSWER_MARGIN_MS),
    callerDeadline,
  };
}
