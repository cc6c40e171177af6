import { type Socket } from 'node:net';

/**
 * Prepares the socket of a connection to a target for undici; to be called before undici adds its own
 * listeners. undici takes a reset for the regular end of an answer that closes its connection, and
 * throws out of its listeners when such an answer breaks off while it is paused.
 */
export function guardSocket(socket: Socket): void {
  socket.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') error.code = 'ECONNABORTED';
  });
  const emit = socket.emit.bind(socket) as (event: string, ...values: unknown[]) => boolean;
  const emitGuarded = (event: string, ...values: unknown[]) => {
    if (event !== 'end') return emit(event, ...values);
    try {
      return emit(event);
    } catch (error) {
      socket.destroy(error as Error);
      return true;
    }
  };
  socket.emit = emitGuarded as Socket['emit'];
}
