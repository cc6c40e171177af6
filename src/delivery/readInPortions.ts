import { type Socket } from 'node:net';

// The parser does not stop at the first error of a head, and its work on the rest of what it was given
// holds up all other calls.
const PORTION_BYTES = 4096;

/** Makes a socket return at most 4 KB per read, and nothing once it is destroyed. */
export function readInPortions(socket: Socket): void {
  const read = socket.read.bind(socket);
  socket.read = (size?: number) => {
    if (socket.destroyed) return null;
    return read(size ?? (Math.min(socket.readableLength, PORTION_BYTES) || undefined));
  };
}
