import { type Context } from 'hono';
import { type ContentfulStatusCode } from 'hono/utils/http-status';

import { type Answer } from './answer';
import { type ProblemBody } from './problemBody';

/** Responds with a problem (RFC 9457). */
export function respondProblem(context: Context, body: ProblemBody): Answer {
  return context.body(JSON.stringify(body), body.status as ContentfulStatusCode, {
    'content-type': 'application/problem+json',
  });
}
