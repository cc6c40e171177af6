import { type AttemptOutcome } from '../placement';

import { type AnswerHead } from './answerHead';
import { type IncomingCall } from './incomingCall';

/** How an answer ends its attempt, with the reason when it is not used. */
export interface AnswerClassification {
  readonly end: AttemptOutcome;
  readonly message: string;
}

/**
 * Classifies an answer by its head; whether the body is complete is checked elsewhere. On a reused
 * connection an answer without a call id may be a late copy of an earlier one, so that it proves
 * nothing about this call.
 */
export function classifyAnswer(
  head: AnswerHead,
  call: IncomingCall,
  isConnectionReused: boolean,
): AnswerClassification {
  const { status, headers, metadata } = head;
  if (metadata.callId === null && isConnectionReused) {
    return { end: 'unknown', message: 'answer without call id on a reused connection' };
  }
  if (metadata.callId !== null && metadata.callId !== call.id) {
    return { end: 'unknown', message: `answer of another call: ${metadata.callId}` };
  }
  if (metadata.isNotRun || status === 421) return { end: 'notRun', message: `status ${status}` };
  if (status < 300 && (!metadata.isSigned || metadata.callId === null)) {
    return { end: 'unknown', message: 'success without signature or call id' };
  }
  if (headers['content-encoding'] !== undefined) {
    return { end: 'unknown', message: 'answer with an encoding that nobody asked for' };
  }
  if (status >= 500 || status === 429 || status === 408) {
    return { end: 'failed', message: `status ${status}` };
  }
  return { end: 'answered', message: '' };
}
