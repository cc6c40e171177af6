import { type RunningAttempt } from './runningAttempt';
import { type AttemptResult } from './attemptResult';

/** Events that the task of a call handles. */
export type CallEvent =
  | { readonly kind: 'ended'; readonly attempt: RunningAttempt; readonly result: AttemptResult }
  | { readonly kind: 'tick' }
  | { readonly kind: 'deadline' }
  | { readonly kind: 'callerLeft' };
