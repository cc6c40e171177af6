import { type IncomingMessage } from 'node:http';

/**
 * Reads the rest of a request that was answered before its body was received, so that the next request
 * on the connection is read. Closes the connection after `limit` more bytes.
 */
export function discardBody(request: IncomingMessage, limit: number): void {
  let size = 0;
  // The iterator that read the body so far listens for 'readable', which keeps the stream from flowing.
  request.removeAllListeners('readable');
  request.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > limit) request.socket.destroy();
  });
  request.resume();
}
