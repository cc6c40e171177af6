import { type Fleet } from '../fleet';
import { type Clock } from '../runtime';

/** Whether callers should be sent to this gateway. */
export interface Readiness {
  readonly ready: boolean;
  /** Why not; empty when ready. */
  readonly reason: string;
}

/** A gateway is ready while it may act on its view and does not stop. */
export function readinessOf(fleet: Fleet, clock: Clock, stopping: boolean): Readiness {
  if (stopping) return { ready: false, reason: 'stopping' };
  if (fleet.view() === null) return { ready: false, reason: 'no fleet record yet' };
  if (fleet.viewDeadline() <= clock.now()) return { ready: false, reason: 'view expired' };
  return { ready: true, reason: '' };
}
