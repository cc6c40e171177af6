import { type Result } from 'ts-results';

import { type EventSink } from '../logging';
import { type Clock, waitUntil } from '../runtime';

import { BALANCER_EVENTS } from './events';

// The process before a restart, or a connection of another process, may hold an address for a moment.
const BIND_TIMEOUT_MS = 5000;
const BIND_RETRY_MS = 100;

interface BindParts {
  readonly clock: Clock;
  readonly events: EventSink;
}

/**
 * Calls `bind` until it succeeds, for at most five seconds; returns the last error then. `name` is the
 * setting of the address.
 */
export async function bindWhenFree<Value>(
  { clock, events }: BindParts,
  name: string,
  bind: () => Promise<Result<Value, string>>,
): Promise<Result<Value, string>> {
  const startedAt = clock.now();
  const deadline = startedAt + BIND_TIMEOUT_MS;
  let bound = await bind();
  if (bound.ok) return bound;
  events.emit(BALANCER_EVENTS.addressInUse, { part: name, reason: bound.val });
  while (bound.err && clock.now() < deadline) {
    await waitUntil(clock, clock.now() + BIND_RETRY_MS);
    bound = await bind();
  }
  const waitedMs = Math.round(clock.now() - startedAt);
  if (bound.ok) events.emit(BALANCER_EVENTS.addressOpened, { part: name, waitedMs });
  return bound;
}
