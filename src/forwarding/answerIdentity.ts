import { type IncomingHttpHeaders } from 'node:http';

import { type Dispatcher } from 'undici';

import { CALL_ID_HEADER } from './headers';

/**
 * Recognises answers that belong to another call, such as late copies, of targets that repeat the id
 * of the call. Nothing is known of the answers of other targets.
 */
export class AnswerIdentity {
  /** Connection pools of the targets whose last answer had the id of its call. */
  private readonly echoing = new WeakSet<Dispatcher>();

  /** Whether an answer that a target gave on one of its connections may belong to the call. */
  mayBelong(headers: IncomingHttpHeaders, callId: string, pool: Dispatcher): boolean {
    const answeredId = headers[CALL_ID_HEADER];
    if (answeredId === callId) {
      this.echoing.add(pool);
      return true;
    }
    // A target that was replaced by one that repeats no ids is doubted once.
    const isEchoing = this.echoing.delete(pool);
    return answeredId === undefined && !isEchoing;
  }
}
