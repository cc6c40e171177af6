import { type OutgoingHttpHeaders, type ServerResponse } from 'node:http';

import { type NotRun, type OutcomeUnknown, problemOf } from '../outcomes';

import { OUTCOME_HEADER } from './headers';

/** Answers a call with an RFC 9457 problem, unless a response has already been started. */
export function writeProblem(
  response: ServerResponse,
  outcome: NotRun | OutcomeUnknown,
  callId: string,
  extra: OutgoingHttpHeaders = {},
): void {
  if (response.headersSent || response.destroyed) return;
  const { retryAfter, ...problem } = problemOf(outcome);
  const body = Buffer.from(
    JSON.stringify({ ...problem, instance: `urn:limpetknot:call:${callId}` }),
  );
  const headers: OutgoingHttpHeaders = {
    'content-type': 'application/problem+json',
    'content-length': body.length,
    ...extra,
    [OUTCOME_HEADER]: outcome.kind,
    'proxy-status': `limpetknot; error=${outcome.kind}; details="${problem.reason}"`,
  };
  if (retryAfter !== null) headers['retry-after'] = String(retryAfter);
  response.writeHead(problem.status, headers);
  response.end(body);
}
