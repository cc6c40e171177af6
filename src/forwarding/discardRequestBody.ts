import { type IncomingMessage } from 'node:http';

import { type Clock } from '../runtime';

/**
 * Reads and discards the rest of a request that was answered before it was complete, and closes
 * its connection if that takes longer than `lingerMs`. Closing immediately could reset the
 * connection before the caller has read the response; without a limit, a graceful shutdown would
 * wait for the connection, which counts as busy.
 */
export function discardRequestBody(request: IncomingMessage, clock: Clock, lingerMs: number): void {
  if (request.complete || request.socket.destroyed) return;
  // The stream does not flow while a reader that stopped early has a `readable` listener attached.
  request.removeAllListeners('readable');
  request.resume();
  const timer = clock.setTimer(clock.now() + lingerMs, () => {
    if (!request.complete) request.socket.destroy();
  });
  const stopTimer = () => timer.cancel();
  request.once('end', stopTimer);
  request.once('close', stopTimer);
}
