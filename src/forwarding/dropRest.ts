import { type IncomingMessage } from 'node:http';

import { type Clock } from '../runtime';

/**
 * Reads and drops the rest of a request that was answered before its end, and closes its
 * connection when the rest takes longer than `lingerMs`. Closing at once could reset the
 * connection before the answer was read; never closing would hold a connection that counts as
 * busy, which a graceful shutdown would wait for.
 */
export function dropRest(request: IncomingMessage, clock: Clock, lingerMs: number): void {
  if (request.complete || request.socket.destroyed) return;
  // A reader that stopped half-way leaves a listener, with which the stream does not flow.
  request.removeAllListeners('readable');
  request.resume();
  const timer = clock.setTimer(clock.now() + lingerMs, () => {
    if (!request.complete) request.socket.destroy();
  });
  const done = () => timer.cancel();
  request.once('end', done);
  request.once('close', done);
}
