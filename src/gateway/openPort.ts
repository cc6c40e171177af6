import { createServer } from 'node:net';

import { Err, Ok, type Result } from 'ts-results';

import { type EventSink } from '../logging';
import { type Clock, waitUntil } from '../runtime';

import { GATEWAY_EVENTS } from './events';

const RETRY_MS = 100;

/** Dependencies of `openPort`. */
export interface OpenPortParts {
  readonly clock: Clock;
  readonly events: EventSink;
  /** Aborted by a stop, which ends the wait. */
  readonly signal: AbortSignal;
}

/**
 * Calls `open` until it succeeds, for as long as another process may hold the port `name`. Returns the
 * last error after a stop.
 */
export async function openPort<Value, Failure>(
  { clock, events, signal }: OpenPortParts,
  name: string,
  open: () => Promise<Result<Value, Failure>>,
): Promise<Result<Value, Failure>> {
  const startedAt = clock.now();
  let opened = await open();
  if (opened.ok) return opened;
  events.emit(GATEWAY_EVENTS.portInUse, { port: name, reason: opened.val });
  while (opened.err && !signal.aborted) {
    await waitUntil(clock, clock.now() + RETRY_MS, signal);
    opened = await open();
  }
  const waitedMs = Math.round(clock.now() - startedAt);
  if (opened.ok) events.emit(GATEWAY_EVENTS.portOpened, { port: name, waitedMs });
  return opened;
}

/** Opens `port` and closes it again; the error is the message of the operating system. */
export function tryPort(address: string, port: number): Promise<Result<void, string>> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', (error) => resolve(Err(error.message)));
    server.listen(port, address, () => server.close(() => resolve(Ok(undefined))));
  });
}
