import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { gzip } from 'node:zlib';

import { encodeChanges, type Ledger } from '../catalog';
import { type Clock } from '../runtime';

/** Data served at the control address. */
export interface ControlParts {
  readonly clock: Clock;
  readonly ledger: Ledger;
  readonly renderMetrics: () => string;
  readonly describe: () => unknown;
}

interface ControlReply {
  readonly type: string;
  readonly body: string;
}

type ControlHandler = (parts: ControlParts, query: URLSearchParams) => ControlReply | null;

const HANDLERS: Readonly<Record<string, ControlHandler>> = {
  '/catalog': ({ ledger, clock }, query) => {
    const after = Number(query.get('after') ?? 0);
    if (!Number.isSafeInteger(after) || after < 0) return null;
    return {
      type: 'application/json',
      body: encodeChanges(ledger.changesAfter(after), clock.now()),
    };
  },
  '/metrics': ({ renderMetrics }) => ({ type: 'text/plain; version=0.0.4', body: renderMetrics() }),
  '/status': ({ describe }) => ({
    type: 'application/json',
    body: `${JSON.stringify(describe(), null, 2)}\n`,
  }),
  '/livez': () => ({ type: 'text/plain', body: 'ok\n' }),
};

// Replies above this size are compressed: a large configuration shrinks to about a tenth.
const MIN_COMPRESSED_BYTES = 4096;
const FASTEST_COMPRESSION = 1;
// Large replies sent at the same time. More would share the link of this host until all of them take
// too long; hosts that are turned away ask another holder.
const MAX_LARGE_REPLIES = 4;

/** Answers the requests at the control address. */
class ControlService {
  private largeReplies = 0;

  constructor(private readonly parts: ControlParts) {}

  handle(request: IncomingMessage, response: ServerResponse): void {
    const target = request.url ?? '/';
    if (!URL.canParse(target, 'http://control')) {
      this.end(response, 400);
      return;
    }
    const { pathname, searchParams } = new URL(target, 'http://control');
    const handler = Object.hasOwn(HANDLERS, pathname) ? HANDLERS[pathname] : undefined;
    if (handler === undefined || request.method !== 'GET') {
      this.end(response, handler === undefined ? 404 : 405);
      return;
    }
    const reply = handler(this.parts, searchParams);
    if (reply === null) this.end(response, 400);
    else this.send(request, response, reply);
  }

  private send(request: IncomingMessage, response: ServerResponse, reply: ControlReply): void {
    const bytes = Buffer.from(reply.body, 'utf8');
    const isLarge = bytes.length >= MIN_COMPRESSED_BYTES;
    const acceptsGzip = request.headers['accept-encoding'] === 'gzip';
    if (!isLarge || !acceptsGzip) {
      response.writeHead(200, { 'content-type': reply.type, 'content-length': bytes.length });
      response.end(bytes);
      return;
    }
    if (this.largeReplies >= MAX_LARGE_REPLIES) {
      this.end(response, 503);
      return;
    }
    this.largeReplies += 1;
    response.once('close', () => {
      this.largeReplies -= 1;
    });
    gzip(bytes, { level: FASTEST_COMPRESSION }, (error, compressed) => {
      if (error !== null) {
        this.end(response, 500);
        return;
      }
      response.writeHead(200, {
        'content-type': reply.type,
        'content-encoding': 'gzip',
        'content-length': compressed.length,
      });
      response.end(compressed);
    });
  }

  private end(response: ServerResponse, status: number): void {
    response.writeHead(status, { 'content-length': 0 });
    response.end();
  }
}

/**
 * Serves the catalog to other hosts, and status and metrics to operators. It uses plain node:http,
 * since hono with its server adds 16 MB and 86 ms of processor time to each start.
 */
export function createControlServer(parts: ControlParts): Server {
  const service = new ControlService(parts);
  return createServer((request, response) => service.handle(request, response));
}
