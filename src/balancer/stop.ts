import { type CallServer } from '../delivery';
import { type EventSink } from '../logging';
import { type Clock, waitUntil } from '../runtime';

import { BALANCER_EVENTS } from './events';

// The platform's balancer asks once a second and looks elsewhere after two misses.
const NOTICE_MS = 3200;
const NOTICE_SHARE = 0.55;
// Time to close what is left before the process is killed.
const CLOSING_MS = 350;

/** What an orderly stop works with. */
export interface StopParts {
  readonly clock: Clock;
  readonly events: EventSink;
  readonly calls: CallServer;
  readonly graceMs: number;
}

/**
 * Ends the work for callers: readiness says no already; new connections are accepted until the
 * balancer in front looks elsewhere; then the listener closes and running calls finish.
 */
export async function finishCalls(parts: StopParts): Promise<void> {
  const { clock, events, calls, graceMs } = parts;
  const startedAt = clock.now();
  await waitUntil(clock, startedAt + Math.min(NOTICE_MS, graceMs * NOTICE_SHARE));
  calls.server.close();
  events.emit(BALANCER_EVENTS.listenerClosed, { running: calls.callsRunning() });
  const end = waitUntil(clock, startedAt + graceMs - CLOSING_MS);
  await Promise.race([calls.whenIdle(), end]);
  if (calls.callsRunning() > 0) {
    events.emit(BALANCER_EVENTS.interrupted, { running: calls.callsRunning() });
  }
}
