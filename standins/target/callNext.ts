import { type IncomingMessage } from 'node:http';

import { request, type Dispatcher } from 'undici';

// Headers that a target passes along with its own calls, as the W3C recommendations ask.
const PASSED_ON = ['baggage', 'traceparent', 'tracestate', 'limpetknot-timeout-ms'];

/** Calls the next service of a chain through a gateway; returns its status, 502 without one. */
export async function callNext(
  url: string,
  incoming: IncomingMessage,
  dispatcher: Dispatcher,
): Promise<number> {
  const headers: Record<string, string> = {};
  for (const name of PASSED_ON) {
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
