import { type IncomingHttpHeaders } from 'node:http';

import { type AnswerFacts } from './answerFacts';

/** How calls and answers carry what concerns the system; header names are in lower case. */
export interface CallProtocol {
  readonly callIdHeader: string;
  /** Header with the time in milliseconds that the sender will still wait. */
  readonly timeLeftHeader: string;
  /** Header with the id of the only target that may run the call. */
  readonly expectedTargetHeader: string;
  readonly retryAfterHeader: string;
  /** Headers of answers that are for the system, not for callers. */
  readonly internalAnswerHeaders: ReadonlySet<string>;
  readAnswer(headers: IncomingHttpHeaders): AnswerFacts;
}
