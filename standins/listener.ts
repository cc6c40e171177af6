import { createServer, type RequestListener, type Server } from 'node:http';
import { type AddressInfo } from 'node:net';

/** A loopback HTTP listener that can be closed with all its connections and reopened. */
export class Listener {
  private server: Server | null = null;

  constructor(private readonly handle: RequestListener) {}

  get isOpen(): boolean {
    return this.server !== null;
  }

  /** Listens on `port`, or on a free port for 0; returns the port. */
  async open(port: number): Promise<number> {
    const server = createServer(this.handle);
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, '127.0.0.1', resolve);
    });
    return (server.address() as AddressInfo).port;
  }

  async close(): Promise<void> {
    const { server } = this;
    this.server = null;
    if (server === null) return;
    await new Promise<void>((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
    });
  }
}
