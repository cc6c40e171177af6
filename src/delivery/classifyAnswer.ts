import { type AttemptOutcome } from '../placement';

import { type AnswerHead } from './answerHead';
import { type IncomingCall } from './incomingCall';

/** How an answer ends its attempt, with the reason when it is not used. */
export interface AnswerClassification {
  readonly end: AttemptOutcome;
  readonly message: string;
}

/**
 * Classifies an answer by its head; whether the body is complete is checked elsewhere. Targets repeat
 * the id of the call in each answer, and the connection has carried no other call with that id, so an
 * answer without it may belong to any call and proves nothing about this one.
 */
export function classifyAnswer(head: AnswerHead, call: IncomingCall): AnswerClassification {
  const { status, headers, metadata } = head;
  if (metadata.callId !== call.id) {
    return { end: 'unknown', message: `answer of another call: ${metadata.callId ?? 'no id'}` };
  }
  if (metadata.isNotRun || status === 421) return { end: 'notRun', message: `status ${status}` };
  if (status < 300 && !metadata.isSigned) {
    return { end: 'unknown', message: 'success without signature' };
  }
  if (headers['content-encoding'] !== undefined) {
    return { end: 'unknown', message: 'answer with an encoding that nobody asked for' };
  }
  if (status >= 500 || status === 429 || status === 408) {
    return { end: 'failed', message: `status ${status}` };
  }
  return { end: 'answered', message: '' };
}
