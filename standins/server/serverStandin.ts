import { createServer, type Server, type Socket } from 'node:net';

import { parseRequest, type ServerRequest } from './parseRequest';

/** How a server responds to the next requests; most modes violate the protocol in one way. */
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

/** A request that a server ran. */
export interface RunRecord {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly remainingMs: number;
}

/** The headers of a request that reached a server, whether it ran or not. */
export interface ReceivedHeaders {
  readonly id: string;
  /** Names in lower case, in the order of their lines; a name may occur several times. */
  readonly headers: readonly (readonly [name: string, value: string])[];
}

/** A request that reached a server, whether it ran or not; health checks are no arrivals. */
export interface Arrival {
  readonly id: string;
  /** Monotonic time in milliseconds. */
  readonly at: number;
  readonly outcome: 'ran' | 'refused' | 'other';
  /** Headers that the server added to all its answers at that time. */
  readonly extraHeaders: readonly string[];
}

/** Options of a server stand-in; times in milliseconds. */
export interface ServerOptions {
  readonly id: string;
  readonly workMs?: number;
  readonly slots?: number;
  /** Whether responses carry the `Upstream-Load` header; true by default. */
  readonly hasLoadHeader?: boolean;
}

/**
 * Stand-in for a server of the platform. It writes its HTTP protocol byte by byte to a plain
 * socket, so that it can also violate the protocol.
 */
export class ServerStandin {
  readonly runs: RunRecord[] = [];

  readonly arrivals: Arrival[] = [];

  readonly received: ReceivedHeaders[] = [];

  mode: ServerMode = 'well';

  /** Header lines that are added to its answers, also to health checks. */
  extraHeaders: readonly string[] = [];

  /** Service time in percent of the usual; `Upstream-Load` reports it. */
  pace = 100;

  coldLeftMs = 0;

  /** Body of its answers; null for one that names the server and the call. */
  answerBody: string | null = null;

  /** Requests received, without health checks; includes requests that were not run. */
  requestCount = 0;

  connectionCount = 0;

  probeCount = 0;

  healthStatus = 200;

  /** Runs whose response was discarded because the connection had closed. */
  abandonedRuns = 0;

  private running = 0;

  private readonly sockets = new Set<Socket>();

  private readonly server: Server;

  private port = 0;

  constructor(private readonly options: ServerOptions) {
    this.server = createServer((socket) => this.accept(socket));
  }

  /** Listens on a loopback address; resolves to `IP:port`, which stays the same after a crash. */
  listen(port = this.port): Promise<string> {
    return new Promise((resolve) => {
      this.server.listen(port, '127.0.0.1', () => {
        this.port = (this.server.address() as { port: number }).port;
        resolve(`127.0.0.1:${this.port}`);
      });
    });
  }

  /** Simulates a crash: resets open connections and refuses new ones. */
  crash(): void {
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  private accept(socket: Socket): void {
    this.connectionCount += 1;
    this.sockets.add(socket);
    let buffered: Buffer = Buffer.alloc(0);
    socket.on('error', () => {});
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', (chunk) => {
      buffered = Buffer.concat([buffered, chunk]);
      for (let parsed = parseRequest(buffered); parsed !== null; parsed = parseRequest(buffered)) {
        buffered = parsed.rest;
        void this.serve(socket, parsed.request);
      }
    });
  }

  private async serve(socket: Socket, request: ServerRequest): Promise<void> {
    const { id } = this.options;
    if (request.path === '/healthz') {
      this.probeCount += 1;
      this.write(
        socket,
        this.healthStatus,
        [`Upstream-Instance: ${id}`, ...this.loadHeaders()],
        '',
      );
      return;
    }
    this.requestCount += 1;
    const callId = request.headers.get('request-id') ?? '';
    this.received.push({ id: callId, headers: request.headerLines });
    const expectedInstance = request.headers.get('expected-instance');
    if (this.mode === 'other' || (expectedInstance !== undefined && expectedInstance !== id)) {
      this.recordArrival(callId, 'other');
      this.write(socket, 421, [`Request-Id: ${callId}`, 'Upstream-Instance: i-other'], '');
      return;
    }
    const isFull = this.running >= (this.options.slots ?? Infinity);
    if (this.mode === 'full' || (isFull && this.mode === 'well')) {
      const headers = [`Request-Id: ${callId}`, 'Not-Executed: 1', ...this.loadHeaders()];
      this.recordArrival(callId, 'refused');
      this.write(socket, 503, headers, '');
      return;
    }
    if (this.mode === 'resetWhenFull' && isFull) {
      socket.resetAndDestroy();
      return;
    }
    this.recordArrival(callId, 'ran');
    this.runs.push({
      id: callId,
      method: request.method,
      path: request.path,
      body: request.body,
      remainingMs: Number(request.headers.get('deadline-ms')),
    });
    if (this.mode === 'silent') return;
    this.running += 1;
    await new Promise((resolve) => {
      setTimeout(resolve, ((this.options.workMs ?? 1) * this.pace) / 100);
    });
    this.running -= 1;
    if (socket.destroyed) this.abandonedRuns += 1;
    else this.respond(socket, callId);
  }

  private respond(socket: Socket, callId: string): void {
    const signed = [`Request-Id: ${callId}`, 'Upstream-Signature: s.1', ...this.loadHeaders()];
    const body = this.answerBody ?? `answer of ${this.options.id} to ${callId}`;
    const head = (lines: readonly string[]) => `HTTP/1.1 200 OK\r\n${lines.join('\r\n')}\r\n\r\n`;
    const response = `${head([...signed, `Content-Length: ${body.length}`])}${body}`;
    const responders: Readonly<Record<ServerMode, () => void>> = {
      well: () => socket.write(response),
      full: () => socket.write(response),
      resetWhenFull: () => socket.write(response),
      truncated: () => socket.end(response.slice(0, -5)),
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
      surplus: () => socket.write(`${response}${head([...signed, 'Content-Length: 3'])}bad`),
      lateSurplus: () => {
        const stale = head(['Request-Id: earlier', 'Upstream-Signature: s.0', 'Content-Length: 3']);
        socket.write(`${stale}old${response}`);
      },
      otherCall: () =>
        socket.write(response.replace(`Request-Id: ${callId}`, 'Request-Id: another')),
      encoded: () =>
        socket.write(response.replace('\r\n\r\n', '\r\nContent-Encoding: gzip\r\n\r\n')),
      unsigned: () => socket.write(response.replace('Upstream-Signature: s.1\r\n', '')),
      silent: () => {},
      runThenReset: () => socket.resetAndDestroy(),
      fails: () => this.write(socket, 500, signed, 'failed'),
      other: () => {},
      shed503: () => this.write(socket, 503, signed, 'failed after it ran'),
    };
    responders[this.mode]();
  }

  private loadHeaders(): readonly string[] {
    const warmupHeaders = this.coldLeftMs > 0 ? [`Warmup-Remaining-Ms: ${this.coldLeftMs}`] : [];
    const others = [...this.extraHeaders, ...warmupHeaders];
    if (this.options.hasLoadHeader === false) return others;
    const loadHeader = `Upstream-Load: ${this.running},0,${this.options.slots ?? 6},${this.pace}`;
    return [loadHeader, ...others];
  }

  private recordArrival(id: string, outcome: Arrival['outcome']): void {
    this.arrivals.push({ id, at: performance.now(), outcome, extraHeaders: this.extraHeaders });
  }

  private write(socket: Socket, status: number, headers: readonly string[], body: string): void {
    const lines = [`HTTP/1.1 ${status} x`, ...headers, `Content-Length: ${body.length}`];
    socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
  }
}
