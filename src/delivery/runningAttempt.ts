import { type Target } from '../catalog';

import { type IncomingCall } from './incomingCall';

/** One transmission of a call to one target, as the task of the call sees it. */
export interface RunningAttempt {
  readonly call: IncomingCall;
  readonly target: Target;
  /** Monotonic time at which the request was sent; null until then. */
  readonly sentAt: number | null;
  /** Sends the request. */
  start(): void;
  /** Cancels the attempt, also at the target. */
  abort(): void;
}
