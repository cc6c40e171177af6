import { type IncomingHttpHeaders } from 'node:http';

import { type AnswerMetadata } from './answerMetadata';

/** Headers that carry the balancer's metadata in calls and answers; names are in lower case. */
export interface CallProtocol {
  readonly callIdHeader: string;
  /** Header with the remaining timeout of the sender in milliseconds. */
  readonly timeoutHeader: string;
  /** Header with the id of the target that the call is addressed to; no other target may run it. */
  readonly expectedTargetHeader: string;
  /** Header with the name of the tenant whose call a target gets. */
  readonly tenantHeader: string;
  readonly retryAfterHeader: string;
  /** Headers of answers that are removed before an answer is forwarded to the caller. */
  readonly internalAnswerHeaders: ReadonlySet<string>;
  readAnswer(headers: IncomingHttpHeaders): AnswerMetadata;
}
