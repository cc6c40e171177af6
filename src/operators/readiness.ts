import { type Fleet } from '../fleet';
import { type Clock } from '../runtime';

/** Whether the balancer should direct callers to this gateway. */
export interface Readiness {
  readonly ready: boolean;
  /** Why the gateway is not ready; empty when it is. */
  readonly reason: string;
}

/** A gateway is ready while its fleet view is valid and it is not shutting down. */
export function readinessOf(fleet: Fleet, clock: Clock, isStopping: boolean): Readiness {
  if (isStopping) return { ready: false, reason: 'stopping' };
  if (fleet.view() === null) return { ready: false, reason: 'no fleet record yet' };
  if (fleet.viewDeadline() <= clock.now()) return { ready: false, reason: 'view expired' };
  return { ready: true, reason: '' };
}
