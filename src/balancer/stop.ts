import { type CallServer } from '../delivery';
import { type EventSink } from '../logging';
import { type Clock, waitUntil } from '../runtime';

import { BALANCER_EVENTS } from './events';

// The platform's balancer checks readiness once a second and stops sending after 2 failed checks.
const NOT_READY_NOTICE_MS = 3200;
const NOT_READY_NOTICE_SHARE = 0.55;
// Time to close the remaining resources before the platform kills the process.
const CLOSE_RESERVE_MS = 350;
// Time for the last answers to reach their callers before the connections are closed.
const LAST_ANSWERS_MS = 150;

/** Dependencies of a graceful stop. */
export interface DrainParts {
  readonly clock: Clock;
  readonly events: EventSink;
  readonly calls: CallServer;
  /** Monotonic time at which the stop began. */
  readonly startedAt: number;
  readonly graceMs: number;
}

/** Monotonic time by which the last answer must be sent after a stop that began at `startedAt`. */
export function lastAnswerTime(startedAt: number, graceMs: number): number {
  return startedAt + graceMs - CLOSE_RESERVE_MS - LAST_ANSWERS_MS;
}

/**
 * Drains the calls of callers. Readiness already reports not ready; new connections are accepted
 * until the platform's balancer stops sending; then the listener closes and running calls finish.
 */
export async function drainCalls(parts: DrainParts): Promise<void> {
  const { clock, events, calls, startedAt, graceMs } = parts;
  await waitUntil(
    clock,
    startedAt + Math.min(NOT_READY_NOTICE_MS, graceMs * NOT_READY_NOTICE_SHARE),
  );
  const listenerClosed = calls.closeListener();
  events.emit(BALANCER_EVENTS.listenerClosed, { running: calls.callsRunning() });
  await Promise.race([listenerClosed, waitUntil(clock, lastAnswerTime(startedAt, graceMs))]);
  if (calls.callsRunning() === 0) return;
  events.emit(BALANCER_EVENTS.interrupted, { running: calls.callsRunning() });
  calls.endCalls();
  await Promise.race([listenerClosed, waitUntil(clock, startedAt + graceMs - CLOSE_RESERVE_MS)]);
}
