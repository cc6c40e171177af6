import { type IncomingMessage } from 'node:http';

import { request, type Dispatcher } from 'undici';

// Headers propagated to calls that a target makes, as the W3C recommendations require.
const FORWARDED_HEADERS = ['baggage', 'traceparent', 'tracestate', 'limpetknot-timeout-ms'];

/** Calls the next service of a chain through a gateway; returns its status, or 502 on an error. */
export async function callNext(
  url: string,
  incoming: IncomingMessage,
  dispatcher: Dispatcher,
): Promise<number> {
  const headers: Record<string, string> = {};
  for (const name of FORWARDED_HEADERS) {
    const value = incoming.headers[name];
    if (typeof value === 'string') headers[name] = value;
  }
  try {
    const answer = await request(`${url}${incoming.url ?? '/'}`, { dispatcher, headers });
    await answer.body.dump();
    return answer.statusCode;
  } catch {
    return 502;
  }
}
