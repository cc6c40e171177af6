import { type Target } from '../catalog';

import { type AttemptObserver } from './attemptObserver';
import { type IncomingCall } from './incomingCall';
import { type RunningAttempt } from './runningAttempt';

/** An attempt for which this host may open no connection; it ends when it is started. */
export class UnsentAttempt implements RunningAttempt {
  readonly sentAt = null;

  constructor(
    readonly call: IncomingCall,
    readonly target: Target,
    private readonly observer: AttemptObserver,
  ) {}

  start(): void {
    this.observer.onEnd(this, {
      end: 'notSent',
      answer: null,
      error: 'noSocket',
      message: 'all connections to targets are in use',
    });
  }

  abort(): void {
    // There is nothing to cancel.
  }
}
