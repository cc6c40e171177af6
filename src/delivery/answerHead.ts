import { type IncomingHttpHeaders } from 'node:http';

import { type AnswerFacts } from './answerFacts';

/** Status, headers and metadata of a target's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly facts: AnswerFacts;
}
