import { type AddressInfo, connect, createServer, type Socket } from 'node:net';

/** Forwards loopback connections to a port and counts the bytes in both directions. */
export class CountingForwarder {
  bytes = 0;

  /** Reads from sockets; the nearest count of messages that is visible from outside. */
  chunks = 0;

  private readonly sockets = new Set<Socket>();

  private readonly server = createServer((incoming) => this.forward(incoming));

  constructor(private readonly targetPort: number) {}

  /** Listens on a free port and returns it. */
  async start(): Promise<number> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  async stop(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  private forward(incoming: Socket): void {
    const outgoing = connect(this.targetPort, '127.0.0.1');
    this.join(incoming, outgoing);
    this.join(outgoing, incoming);
  }

  private join(from: Socket, to: Socket): void {
    this.sockets.add(from);
    from.setNoDelay(true);
    from.on('data', (chunk: Buffer) => {
      this.bytes += chunk.length;
      this.chunks += 1;
    });
    from.on('error', () => to.destroy());
    from.once('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
    from.pipe(to);
  }
}
