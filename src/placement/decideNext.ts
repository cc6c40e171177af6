import { type AttemptEnd } from './attemptEnd';

/** What is known when an attempt has ended without an answer for the caller. */
export interface NextInput {
  readonly isIdempotent: boolean;
  /** Attempts that reached a target, this one included. */
  readonly attempts: number;
  readonly mostAttempts: number;
  /** Attempts that nothing was sent of. */
  readonly unsent: number;
  readonly leftMs: number;
  readonly workMs: number;
}

/** `repeat` draws on the retry budget, `resend` does not. */
export type NextStep = 'repeat' | 'resend' | 'finish';

// Connections that fail one after the other say that this host, not a target, is cut off.
const MOST_UNSENT = 4;
// A repeat that has less time than its work usually takes would only load a target.
const LEAST_TIME_SHARE = 0.7;

function hasRoom({ attempts, mostAttempts, leftMs, workMs }: NextInput): boolean {
  return attempts < mostAttempts && leftMs > workMs * LEAST_TIME_SHARE;
}

const STEPS: Readonly<Record<AttemptEnd, (input: NextInput) => NextStep>> = {
  answered: () => 'finish',
  failed: (input) => (input.isIdempotent && hasRoom(input) ? 'repeat' : 'finish'),
  notRun: (input) => (hasRoom(input) ? 'repeat' : 'finish'),
  notSent: (input) => (input.unsent < MOST_UNSENT && input.leftMs > 0 ? 'resend' : 'finish'),
  unknown: (input) => (input.isIdempotent && hasRoom(input) ? 'repeat' : 'finish'),
};

/** Whether a call is sent again after an attempt that ended so. */
export function decideNext(end: AttemptEnd, input: NextInput): NextStep {
  return STEPS[end](input);
}
