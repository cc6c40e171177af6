import { createServer, type Server, type Socket } from 'node:net';

const HEAD_END = '\r\n\r\n';

/** A request that a scripted server has received. */
export interface ScriptedRequest {
  readonly socket: Socket;
  readonly id: string;
  readonly isProbe: boolean;
  /** Number of requests on this connection before this one. */
  readonly earlierOnConnection: number;
}

/** Head and body of a correct answer of a server of the platform. */
export function answerText(id: string, body: string, status = 200): string {
  return [
    `HTTP/1.1 ${status} x`,
    ...(id === '' ? [] : [`Request-Id: ${id}`]),
    'Upstream-Signature: s.1',
    'Upstream-Load: 1,0,6,100',
    `Content-Length: ${body.length}`,
    '',
    body,
  ].join('\r\n');
}

/**
 * Server of the platform whose bytes a test scripts. Health checks are answered well unless the
 * test scripts them too.
 */
export class ScriptedServer {
  /** Ids of the requests received, without health checks. */
  readonly received: string[] = [];

  onCall: (request: ScriptedRequest) => void = ({ socket, id }) => {
    socket.write(answerText(id, `answer to ${id}`));
  };

  onProbe: (request: ScriptedRequest) => void = ({ socket }) => {
    socket.write(
      `HTTP/1.1 200 x\r\nUpstream-Instance: ${this.id}\r\nUpstream-Load: 0,0,6,100\r\nContent-Length: 0\r\n\r\n`,
    );
  };

  /** `IP:port`, once it listens. */
  address = '';

  private readonly sockets = new Set<Socket>();

  private readonly server: Server;

  constructor(readonly id: string) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Listens on a loopback address; resolves to `IP:port`. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        this.address = `127.0.0.1:${(this.server.address() as { port: number }).port}`;
        resolve(this.address);
      });
    });
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    let buffered = '';
    let earlierOnConnection = 0;
    socket.on('error', () => {});
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', (chunk) => {
      buffered += chunk.toString('latin1');
      for (let end = buffered.indexOf(HEAD_END); end >= 0; end = buffered.indexOf(HEAD_END)) {
        const head = buffered.slice(0, end);
        const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
        const bodyEnd = end + HEAD_END.length + length;
        if (buffered.length < bodyEnd) return;
        buffered = buffered.slice(bodyEnd);
        const id = /request-id: (\S+)/i.exec(head)?.[1] ?? '';
        const request = {
          ...{ socket, id, earlierOnConnection },
          isProbe: head.startsWith('GET /healthz '),
        };
        if (request.isProbe) this.onProbe(request);
        else {
          this.received.push(id);
          earlierOnConnection += 1;
          this.onCall(request);
        }
      }
    });
  }
}
