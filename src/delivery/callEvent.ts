import { type RunningAttempt } from './runningAttempt';
import { type AttemptResult } from './attemptResult';

/** What a call's task waits for. */
export type CallEvent =
  | { readonly kind: 'ended'; readonly attempt: RunningAttempt; readonly result: AttemptResult }
  | { readonly kind: 'tick' }
  | { readonly kind: 'deadline' }
  | { readonly kind: 'callerLeft' };
