import { type IncomingMessage } from 'node:http';

import { type Catalog, type Route, type Tenant } from '../catalog';

import { type CallDeadlines } from './callDeadlines';
import { type CallProtocol } from './callProtocol';
import { endToEndHeaders } from './endToEndHeaders';
import { type IncomingCall } from './incomingCall';
import { type MemoryShare } from './memoryShare';
import { readCallBody } from './readCallBody';

/** A request that is rejected because of its content. */
export interface RejectedRequest {
  readonly status: 400 | 413;
  readonly detail: string;
}

/** A call that has a route and a service, before its body is read. */
export interface RoutedCall extends CallDeadlines {
  readonly id: string;
  readonly route: Route;
  /** Null on public routes, and where the configuration has no tenants. */
  readonly tenant: Tenant | null;
  readonly service: string;
  readonly arrivedAt: number;
  readonly catalog: Catalog;
}

/**
 * Reads the rest of a request; null when its caller disconnected before the end, `noMemory` when the
 * calls of this host hold as many bytes as they may.
 */
export async function readCall(
  request: IncomingMessage,
  routed: RoutedCall,
  protocol: CallProtocol,
  memory: MemoryShare,
): Promise<IncomingCall | RejectedRequest | 'noMemory' | null> {
  const { id, route, tenant, service, arrivedAt, deadline, callerDeadline, catalog } = routed;
  const body = await readCallBody(request, catalog.configuration!.limits.bodyBytes, memory);
  if (body === 'left') return null;
  if (body === 'noMemory') return body;
  if (body === 'tooLarge') return { status: 413, detail: 'the body is larger than allowed' };
  return {
    id,
    method: request.method!,
    path: request.url!,
    headers: endToEndHeaders(
      request.rawHeaders,
      protocol,
      catalog.tenants === null ? null : { tenant },
    ),
    body,
    route,
    tenant,
    service,
    arrivedAt,
    deadline,
    callerDeadline,
  };
}
