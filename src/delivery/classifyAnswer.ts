import { type AttemptEnd } from '../placement';

import { type AnswerHead } from './answerHead';
import { type IncomingCall } from './incomingCall';

/** What an answer means for its call, and why when it is not used. */
export interface AnswerClass {
  readonly end: AttemptEnd;
  readonly message: string;
}

/** Judges an answer by its head; its body is whole. */
export function classifyAnswer(head: AnswerHead, call: IncomingCall): AnswerClass {
  const { status, headers, facts } = head;
  if (facts.callId !== null && facts.callId !== call.id) {
    return { end: 'unknown', message: `answer of another call: ${facts.callId}` };
  }
  if (facts.saysNotRun || status === 421) return { end: 'notRun', message: `status ${status}` };
  if (status < 300 && (!facts.isSigned || facts.callId === null)) {
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
