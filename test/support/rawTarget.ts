import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo } from 'node:net';

type Handler = (request: IncomingMessage, response: ServerResponse, body: Buffer) => void;

const HEALTH_PATH = '/healthz';

/**
 * HTTP target with a handler that the test defines; records the calls that it receives. Health
 * checks, which a gateway sends when calls gave no information for a while, always succeed.
 */
export class RawTarget {
  readonly requests: { readonly method: string; readonly url: string; readonly body: string }[] =
    [];

  /** Number of requests whose connection was closed before the answer was complete. */
  cancelled = 0;

  readonly headers: IncomingMessage['headers'][] = [];

  private readonly server: Server;

  constructor(public handler: Handler = (_request, response) => response.end('ok')) {
    this.server = createServer((request, response) => {
      if (request.url === HEALTH_PATH) {
        response.end('ok');
        return;
      }
      const chunks: Buffer[] = [];
      response.once('close', () => {
        if (!response.writableFinished) this.cancelled += 1;
      });
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('error', () => {});
      request.once('end', () => {
        const body = Buffer.concat(chunks);
        const { method = '', url = '' } = request;
        this.requests.push({ method, url, body: body.toString() });
        this.headers.push(request.headers);
        this.handler(request, response, body);
      });
    });
  }

  async start(port = 0): Promise<number> {
    await new Promise<void>((resolve) => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
    return (this.server.address() as AddressInfo).port;
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }
}
