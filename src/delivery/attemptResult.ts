import { type AttemptEnd } from '../placement';

import { type AnswerHead } from './answerHead';
import { type ConnectionErrorKind } from './connectionError';
import { type AnswerRest } from './answerRest';

/** How an attempt ended. */
export interface AttemptResult {
  readonly end: AttemptEnd;
  /** The answer when there is a whole one, or the start of a long one. */
  readonly answer: ReceivedAnswer | null;
  readonly error: ConnectionErrorKind | null;
  readonly message: string;
}

/** A target's answer. */
export interface ReceivedAnswer {
  readonly head: AnswerHead;
  readonly chunks: readonly Buffer[];
  /** What is still to come of a long answer; null when the answer is whole. */
  readonly rest: AnswerRest | null;
}
