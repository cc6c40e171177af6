import { type IncomingMessage } from 'node:http';

import { type Catalog, type Route } from '../catalog';

import { type CallProtocol } from './callProtocol';
import { endToEndHeaders } from './endToEndHeaders';
import { type IncomingCall } from './incomingCall';
import { readCallBody } from './readCallBody';

// Margin that lets the final answer of this host reach the caller before the caller times out.
const ANSWER_MARGIN_MS = 8;

/** A request that is rejected because of its content. */
export interface RejectedRequest {
  readonly status: 400 | 413;
  readonly detail: string;
}

/** A call that has a route and a service, before its body is read. */
export interface RoutedCall {
  readonly id: string;
  readonly route: Route;
  readonly service: string;
  readonly arrivedAt: number;
  readonly catalog: Catalog;
}

function statedTimeoutMs(request: IncomingMessage, protocol: CallProtocol): number {
  const value = Number(request.headers[protocol.timeoutHeader]);
  return Number.isFinite(value) && value > 0 ? value : Infinity;
}

/** Reads the rest of a request; null when its caller disconnected before the end. */
export async function readCall(
  request: IncomingMessage,
  routed: RoutedCall,
  protocol: CallProtocol,
): Promise<IncomingCall | RejectedRequest | null> {
  const { id, route, service, arrivedAt, catalog } = routed;
  const body = await readCallBody(request, catalog.configuration!.limits.bodyBytes);
  if (body === 'left') return null;
  if (body === 'tooLarge') return { status: 413, detail: 'the body is larger than allowed' };
  const timeoutMs = statedTimeoutMs(request, protocol);
  const callerDeadline = arrivedAt + timeoutMs;
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
