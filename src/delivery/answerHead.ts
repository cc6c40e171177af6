import { type IncomingHttpHeaders } from 'node:http';

import { type AnswerMetadata } from './answerMetadata';

/** Status, headers and metadata of a target's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly metadata: AnswerMetadata;
}
