import { type IncomingMessage, type Server } from 'node:http';
import { type Socket } from 'node:net';

/**
 * Tracks the connections of a server that have not carried a request. Node.js does not count them
 * as idle, so a closing server would wait for callers that opened a connection in advance.
 */
export class UnusedConnections {
  private readonly sockets = new Set<Socket>();

  constructor(server: Server) {
    const markUsed = (request: IncomingMessage) => this.sockets.delete(request.socket);
    server.on('connection', (socket: Socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    server.on('request', markUsed);
    // Adding the first listener would disable Node.js's own answer to `Expect: 100-continue`.
    if (server.listenerCount('checkContinue') > 0) server.on('checkContinue', markUsed);
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
  }
}
