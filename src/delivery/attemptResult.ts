import { type AttemptOutcome } from '../placement';

import { type AnswerHead } from './answerHead';
import { type ConnectionErrorKind } from './connectionError';
import { type AnswerRest } from './answerRest';

/** How an attempt ended. */
export interface AttemptResult {
  readonly end: AttemptOutcome;
  /** A complete answer, or the start of a long one; null when there is no usable answer. */
  readonly answer: ReceivedAnswer | null;
  readonly error: ConnectionErrorKind | null;
  readonly message: string;
}

/** An answer of a target, either complete or with a body that is still being received. */
export interface ReceivedAnswer {
  readonly head: AnswerHead;
  readonly chunks: readonly Buffer[];
  /** The remaining body of a long answer; null when the answer is complete. */
  readonly rest: AnswerRest | null;
}
