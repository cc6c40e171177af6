import { type CallServer } from '../delivery';
import { type EventSink } from '../logging';
import { type Clock, waitUntil } from '../runtime';

import { BALANCER_EVENTS } from './events';

// The platform's balancer checks readiness once a second and stops sending after 2 failed checks.
const NOT_READY_NOTICE_MS = 3200;
const NOT_READY_NOTICE_SHARE = 0.55;
// Time to close the remaining resources before the platform kills the process.
const CLOSE_RESERVE_MS = 350;

/** Dependencies of a graceful stop. */
export interface DrainParts {
  readonly clock: Clock;
  readonly events: EventSink;
  readonly calls: CallServer;
  readonly graceMs: number;
}

/**
 * Drains the calls of callers. Readiness already reports not ready; new connections are accepted
 * until the platform's balancer stops sending; then the listener closes and running calls finish.
 */
export async function drainCalls(parts: DrainParts): Promise<void> {
  const { clock, events, calls, graceMs } = parts;
  const startedAt = clock.now();
  await waitUntil(
    clock,
    startedAt + Math.min(NOT_READY_NOTICE_MS, graceMs * NOT_READY_NOTICE_SHARE),
  );
  const listenerClosed = calls.closeListener();
  events.emit(BALANCER_EVENTS.listenerClosed, { running: calls.callsRunning() });
  const graceEnd = waitUntil(clock, startedAt + graceMs - CLOSE_RESERVE_MS);
  await Promise.race([listenerClosed, graceEnd]);
  if (calls.callsRunning() > 0) {
    events.emit(BALANCER_EVENTS.interrupted, { running: calls.callsRunning() });
  }
}
