import { type AddressInfo, connect, createServer, type Socket } from 'node:net';

/** TCP proxy on loopback that counts the bytes in both directions. */
export class CountingForwarder {
  bytes = 0;

  /** Number of socket reads, the closest approximation of a message count without parsing. */
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
    this.pipe(incoming, outgoing);
    this.pipe(outgoing, incoming);
  }

  private pipe(from: Socket, to: Socket): void {
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
