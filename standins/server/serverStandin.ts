import { createServer, type Server, type Socket } from 'node:net';

/** How a server treats its next requests. */
export type ServerMode =
  | 'well'
  | 'full'
  | 'resetWhenFull'
  | 'truncated'
  | 'garbage'
  | 'unframed'
  | 'unframedReset'
  | 'unframedCrash'
  | 'surplus'
  | 'lateSurplus'
  | 'otherCall'
  | 'encoded'
  | 'unsigned'
  | 'silent'
  | 'runThenReset'
  | 'fails'
  | 'other'
  | 'shed503';

/** What a server saw of one request that it ran. */
export interface RunRecord {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly timeLeft: number;
}

/** How a server is set up. */
export interface ServerOptions {
  readonly id: string;
  readonly workMs?: number;
  readonly slots?: number;
  /** Whether it adds its load to answers. */
  readonly tellsLoad?: boolean;
}

interface Request {
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

function takeRequest(buffered: Buffer): { request: Request; rest: Buffer } | null {
  const end = buffered.indexOf('\r\n\r\n');
  if (end < 0) return null;
  const [first, ...lines] = buffered.subarray(0, end).toString('latin1').split('\r\n');
  const [method, path] = first!.split(' ');
  const headers = new Map<string, string>();
  for (const line of lines) {
    const colon = line.indexOf(':');
    headers.set(line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim());
  }
  const length = Number(headers.get('content-length') ?? 0);
  const start = end + 4;
  if (buffered.length < start + length) return null;
  const body = buffered.subarray(start, start + length).toString('utf8');
  return {
    request: { method: method!, path: path!, headers, body },
    rest: buffered.subarray(start + length),
  };
}

/**
 * A server of the users' platform for tests: it speaks their protocol byte by byte over a plain
 * socket, so that it can also break it.
 */
export class ServerStandin {
  readonly runs: RunRecord[] = [];

  mode: ServerMode = 'well';

  /** Percent of the usual time that work takes. */
  pace = 100;

  coldLeftMs = 0;

  /** Requests that were read, status checks apart; also those that were not run. */
  arrivals = 0;

  connections = 0;

  probes = 0;

  healthStatus = 200;

  /** Runs that were dropped because their connection closed. */
  dropped = 0;

  private running = 0;

  private readonly sockets = new Set<Socket>();

  private readonly server: Server;

  private port = 0;

  constructor(private readonly options: ServerOptions) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Listens on loopback; resolves to `IP:port`, the same one after a stop. */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.server.listen(this.port, '127.0.0.1', () => {
        this.port = (this.server.address() as { port: number }).port;
        resolve(`127.0.0.1:${this.port}`);
      });
    });
  }

  /** Ends as a crash does: connections are reset and new ones refused. */
  crash(): void {
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  private accept(socket: Socket): void {
    this.connections += 1;
    this.sockets.add(socket);
    let buffered: Buffer = Buffer.alloc(0);
    socket.on('error', () => {});
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', (chunk) => {
      buffered = Buffer.concat([buffered, chunk]);
      for (let taken = takeRequest(buffered); taken !== null; taken = takeRequest(buffered)) {
        buffered = taken.rest;
        void this.serve(socket, taken.request);
      }
    });
  }

  private async serve(socket: Socket, request: Request): Promise<void> {
    const { id } = this.options;
    if (request.path === '/healthz') {
      this.probes += 1;
      this.write(
        socket,
        this.healthStatus,
        [`Upstream-Instance: ${id}`, ...this.loadHeaders()],
        '',
      );
      return;
    }
    this.arrivals += 1;
    const callId = request.headers.get('request-id') ?? '';
    const expected = request.headers.get('expected-instance');
    if (this.mode === 'other' || (expected !== undefined && expected !== id)) {
      this.write(socket, 421, ['Upstream-Instance: i-other'], '');
      return;
    }
    const isFull = this.running >= (this.options.slots ?? Infinity);
    if (this.mode === 'full' || (isFull && this.mode === 'well')) {
      this.write(socket, 503, ['Not-Executed: 1', ...this.loadHeaders()], '');
      return;
    }
    if (this.mode === 'resetWhenFull' && isFull) {
      socket.resetAndDestroy();
      return;
    }
    this.runs.push({
      id: callId,
      method: request.method,
      path: request.path,
      body: request.body,
      timeLeft: Number(request.headers.get('deadline-ms')),
    });
    if (this.mode === 'silent') return;
    this.running += 1;
    await new Promise((resolve) => {
      setTimeout(resolve, ((this.options.workMs ?? 1) * this.pace) / 100);
    });
    this.running -= 1;
    if (socket.destroyed) this.dropped += 1;
    else this.finish(socket, callId);
  }

  private finish(socket: Socket, callId: string): void {
    const signed = [`Request-Id: ${callId}`, 'Upstream-Signature: s.1', ...this.loadHeaders()];
    const body = `answer of ${this.options.id} to ${callId}`;
    const head = (lines: readonly string[]) => `HTTP/1.1 200 OK\r\n${lines.join('\r\n')}\r\n\r\n`;
    const whole = `${head([...signed, `Content-Length: ${body.length}`])}${body}`;
    const handlers: Readonly<Record<ServerMode, () => void>> = {
      well: () => socket.write(whole),
      full: () => socket.write(whole),
      resetWhenFull: () => socket.write(whole),
      truncated: () => socket.end(whole.slice(0, -5)),
      garbage: () => socket.write('\x00\x01 this is no answer\r\n\r\n'),
      unframed: () => socket.end(`${head(signed)}${body}`),
      unframedReset: () => {
        socket.write(`${head(signed)}${body.slice(0, -5)}`);
        setTimeout(() => socket.resetAndDestroy(), 20);
      },
      unframedCrash: () => {
        socket.end(`${head(signed)}${body.slice(0, -5)}`);
        this.server.close();
      },
      surplus: () => socket.write(`${whole}${head([...signed, 'Content-Length: 3'])}bad`),
      lateSurplus: () => {
        const other = head(['Request-Id: earlier', 'Upstream-Signature: s.0', 'Content-Length: 3']);
        socket.write(`${other}old${whole}`);
      },
      otherCall: () => socket.write(whole.replace(`Request-Id: ${callId}`, 'Request-Id: another')),
      encoded: () => socket.write(whole.replace('\r\n\r\n', '\r\nContent-Encoding: gzip\r\n\r\n')),
      unsigned: () => socket.write(whole.replace('Upstream-Signature: s.1\r\n', '')),
      silent: () => {},
      runThenReset: () => socket.resetAndDestroy(),
      fails: () => this.write(socket, 500, signed, 'failed'),
      other: () => {},
      shed503: () => this.write(socket, 503, signed, 'failed after it ran'),
    };
    handlers[this.mode]();
  }

  private loadHeaders(): readonly string[] {
    const cold = this.coldLeftMs > 0 ? [`Warmup-Remaining-Ms: ${this.coldLeftMs}`] : [];
    if (this.options.tellsLoad === false) return cold;
    const load = `Upstream-Load: ${this.running},0,${this.options.slots ?? 6},${this.pace}`;
    return [load, ...cold];
  }

  private write(socket: Socket, status: number, headers: readonly string[], body: string): void {
    const lines = [`HTTP/1.1 ${status} x`, ...headers, `Content-Length: ${body.length}`];
    socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
  }
}
