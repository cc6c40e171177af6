import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo } from 'node:net';

/** One call that a target began to run. */
export interface RunRecord {
  readonly callId: string;
  /** Idempotency-Key of the call, or its path. */
  readonly key: string;
  readonly startedAt: number;
}

/** Stand-in for a target; it records what really ran. */
export class TargetStandin {
  /** All calls that began to run, in order. */
  readonly runs: RunRecord[] = [];

  /** Time to answer a call, in milliseconds. */
  serviceTime = 10;

  inFlight = 0;

  highestInFlight = 0;

  private readonly server: Server;

  constructor(readonly id: string) {
    this.server = createServer((request, response) => this.handle(request, response));
  }

  /** Starts listening on a loopback address and returns the port. */
  async start(port = 0): Promise<number> {
    await new Promise<void>((resolve) => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  async stop(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private handle(request: IncomingMessage, response: ServerResponse): void {
    const key = request.headers['idempotency-key'];
    this.runs.push({
      callId: String(request.headers['limpetknot-call-id'] ?? ''),
      key: typeof key === 'string' ? key : (request.url ?? ''),
      startedAt: performance.now(),
    });
    this.inFlight += 1;
    this.highestInFlight = Math.max(this.highestInFlight, this.inFlight);
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      setTimeout(() => {
        this.inFlight -= 1;
        response.setHeader('content-type', 'application/json');
        response.end(
          JSON.stringify({
            target: this.id,
            path: request.url,
            bytes: Buffer.concat(chunks).length,
          }),
        );
      }, this.serviceTime);
    });
  }
}
