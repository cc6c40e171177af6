import { type AttemptOutcome, decideRetry, type RetryDecision } from '../placement';

import { type AttemptResult, type ReceivedAnswer } from './attemptResult';
import { type CallEnd } from './callEnd';
import { type IncomingCall } from './incomingCall';

// Callers take these to mean that the call was not executed. A failure of a target does not prove that
// unless the target states it.
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** State of a call on which its next step depends, beside its attempts. */
export interface CallOutlook {
  readonly leftMs: number;
  readonly workMs: number;
  /** Whether a target crashed while it ran such a call. */
  readonly isSuspect: boolean;
}

/** How the attempts of one call have ended, and what follows from it. */
export class AttemptHistory {
  /** Attempts whose request was sent. */
  private sent = 0;

  private unsent = 0;

  private mayHaveRun = false;

  private failedAnswer: ReceivedAnswer | null = null;

  private failureMessage = '';

  constructor(private readonly call: IncomingCall) {}

  /** Attempts that have ended and whose request was sent. */
  sentAttempts(): number {
    return this.sent;
  }

  /** Records an attempt without a usable answer. */
  record({ end, answer, message }: AttemptResult): void {
    if (end === 'notSent') this.unsent += 1;
    else this.sent += 1;
    if (end === 'failed' || end === 'unknown') this.mayHaveRun = true;
    if (answer !== null && end === 'failed') this.failedAnswer = answer;
    this.failureMessage = message;
  }

  /** Whether the call is sent again after an attempt that ended with `end`. */
  nextStep(end: AttemptOutcome, { leftMs, workMs, isSuspect }: CallOutlook): RetryDecision {
    const { route, body } = this.call;
    const isBodyBuffered = body === null || Buffer.isBuffer(body);
    if (!isBodyBuffered && end !== 'notSent' && end !== 'withdrawn') return 'finish';
    if (isSuspect && end === 'unknown') return 'finish';
    return decideRetry(end, {
      ...{ leftMs, workMs },
      isIdempotent: route.isIdempotent,
      attempts: this.sent,
      mostAttempts: route.mostAttempts,
      unsent: this.unsent,
    });
  }

  /** The end of a call that is not sent again; null if it has not run. */
  end(): CallEnd | null {
    if (!this.mayHaveRun) return null;
    const detail = this.failureMessage;
    return (
      this.forwardedFailure() ?? { kind: 'own', own: { kind: 'unknown', status: 502, detail } }
    );
  }

  /** The end of a call at its deadline; null if it was not sent. `hasSent`: a running attempt was. */
  endAtDeadline(hasRunning: boolean, hasSent: boolean): CallEnd | null {
    const failure = hasRunning ? null : this.forwardedFailure();
    if (failure !== null) return failure;
    if (!this.mayHaveRun && !hasSent) return null;
    return { kind: 'own', own: { kind: 'unknown', status: 504, detail: 'time limit reached' } };
  }

  private forwardedFailure(): CallEnd | null {
    const answer = this.failedAnswer;
    if (answer === null || NOT_RUN_STATUSES.includes(answer.head.status)) return null;
    return { kind: 'answer', answer };
  }
}
