import { type AttemptOutcome } from './attemptOutcome';

/** State of a call after an attempt that gave no answer for the caller. */
export interface RetryInput {
  readonly isIdempotent: boolean;
  /** Attempts that reached a target, including this one. */
  readonly attempts: number;
  readonly mostAttempts: number;
  /** Attempts of which no byte was sent. */
  readonly unsent: number;
  readonly leftMs: number;
  readonly workMs: number;
}

/** `repeat` consumes the retry budget; `resend` is for a call that was never sent and does not. */
export type RetryDecision = 'repeat' | 'resend' | 'finish';

// After this many connection failures in a row, this host rather than a target is assumed to be cut
// off from the network.
const MAX_UNSENT = 4;
// A retry with less time left than this share of the usual service time would only load a target.
const MIN_RETRY_TIME_SHARE = 0.7;

function mayRetry({ attempts, mostAttempts, leftMs, workMs }: RetryInput): boolean {
  return attempts < mostAttempts && leftMs > workMs * MIN_RETRY_TIME_SHARE;
}

const DECISIONS: Readonly<Record<AttemptOutcome, (input: RetryInput) => RetryDecision>> = {
  answered: () => 'finish',
  failed: (input) => (input.isIdempotent && mayRetry(input) ? 'repeat' : 'finish'),
  notRun: (input) => (mayRetry(input) ? 'repeat' : 'finish'),
  notSent: (input) => (input.unsent < MAX_UNSENT && input.leftMs > 0 ? 'resend' : 'finish'),
  // The retry of a withdrawn attempt was returned.
  withdrawn: (input) => {
    if (input.attempts === 0) return input.leftMs > 0 ? 'resend' : 'finish';
    return mayRetry(input) ? 'repeat' : 'finish';
  },
  unknown: (input) => (input.isIdempotent && mayRetry(input) ? 'repeat' : 'finish'),
};

/** Decides whether a call is sent again after an attempt with the given outcome. */
export function decideRetry(outcome: AttemptOutcome, input: RetryInput): RetryDecision {
  return DECISIONS[outcome](input);
}
