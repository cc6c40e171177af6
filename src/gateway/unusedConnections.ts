import { type IncomingMessage, type Server } from 'node:http';
import { type Socket } from 'node:net';

/**
 * Connections of a server on which no request has arrived. Node.js counts them as busy, so that
 * a closing server would wait for callers that opened a connection in advance.
 */
export class UnusedConnections {
  private readonly sockets = new Set<Socket>();

  constructor(server: Server) {
    const used = (request: IncomingMessage) => this.sockets.delete(request.socket);
    server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    server.on('request', used);
    // A first listener here would keep Node.js from answering `Expect` itself.
    if (server.listenerCount('checkContinue') > 0) server.on('checkContinue', used);
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
  }
}
