import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo } from 'node:net';

/** What the configuration service does with reads. */
export type PlatformMode = 'normal' | 'down' | 'stale' | 'partial';

interface Watch {
  readonly after: number;
  readonly response: ServerResponse;
  readonly timer: NodeJS.Timeout;
}

interface Published {
  readonly version: number;
  readonly text: string;
}

function versionOf(text: string): number {
  const lines = text.split(/\r?\n/);
  const header = lines.indexOf('[sheet]');
  return Number(lines[header + 2]?.split(',')[0] ?? 0);
}

/** Stand-in for the platform: the configuration service and the lagging host list. */
export class PlatformStandin {
  /** Reads since the start, watches included. */
  reads = 0;

  mode: PlatformMode = 'normal';

  private published: Published | null = null;

  private earlier: Published | null = null;

  private hosts: ReadonlyMap<string, 'live' | 'leaving'> = new Map();

  private hostsRevision = 0;

  private readonly watches = new Set<Watch>();

  private readonly server: Server;

  constructor() {
    this.server = createServer((request, response) => this.handle(request, response));
  }

  /** Starts listening on a loopback address and returns the base URL. */
  async start(port = 0): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(port, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Publishes a sheet after `lagMilliseconds` and wakes the watches below its version. */
  publish(text: string, lagMilliseconds = 0): void {
    const apply = () => {
      this.earlier = this.published;
      this.published = { version: versionOf(text), text };
      for (const watch of [...this.watches]) this.answerWatch(watch);
    };
    if (lagMilliseconds === 0) apply();
    else setTimeout(apply, lagMilliseconds).unref();
  }

  /** Watches that are waiting now. */
  get waitingWatches(): number {
    return this.watches.size;
  }

  /** Sets the host list after `lagMilliseconds`. */
  setHosts(hosts: ReadonlyMap<string, 'live' | 'leaving'>, lagMilliseconds = 0): void {
    const apply = () => {
      this.hosts = hosts;
      this.hostsRevision += 1;
    };
    if (lagMilliseconds === 0) apply();
    else setTimeout(apply, lagMilliseconds).unref();
  }

  async stop(): Promise<void> {
    for (const watch of this.watches) clearTimeout(watch.timer);
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private handle(request: IncomingMessage, response: ServerResponse): void {
    this.reads += 1;
    const url = new URL(request.url ?? '/', 'http://platform');
    if (this.mode === 'down') {
      request.socket.destroy();
    } else if (url.pathname === '/configuration') {
      this.answerConfiguration(url, response);
    } else if (url.pathname === '/hosts') {
      this.answerHosts(request, response);
    } else {
      response.writeHead(404).end();
    }
  }

  private current(): Published | null {
    return this.mode === 'stale' ? (this.earlier ?? this.published) : this.published;
  }

  private answerConfiguration(url: URL, response: ServerResponse): void {
    const after = url.searchParams.get('after');
    const current = this.current();
    if (after === null) {
      if (current === null) response.writeHead(404).end();
      else this.send(current, response);
      return;
    }
    const wait = Number(url.searchParams.get('wait') ?? 0) * 1000;
    const watch: Watch = {
      after: Number(after),
      response,
      timer: setTimeout(() => this.endWatch(watch), wait),
    };
    this.watches.add(watch);
    response.once('close', () => this.dropWatch(watch));
    this.answerWatch(watch);
  }

  private answerWatch(watch: Watch): void {
    const current = this.current();
    if (current === null || current.version <= watch.after) return;
    this.dropWatch(watch);
    this.send(current, watch.response);
  }

  /** In partial mode, half of the text arrives as if it were whole. */
  private send({ version, text }: Published, response: ServerResponse): void {
    const sent = this.mode === 'partial' ? text.slice(0, text.length / 2) : text;
    response.writeHead(200, { etag: `"${version}"` }).end(sent);
  }

  private endWatch(watch: Watch): void {
    this.dropWatch(watch);
    watch.response.writeHead(304).end();
  }

  private dropWatch(watch: Watch): void {
    clearTimeout(watch.timer);
    this.watches.delete(watch);
  }

  private answerHosts(request: IncomingMessage, response: ServerResponse): void {
    const tag = `"${this.hostsRevision}"`;
    if (request.headers['if-none-match'] === tag) {
      response.writeHead(304).end();
      return;
    }
    const hosts = [...this.hosts].map(([id, state]) => ({ id, state }));
    response.writeHead(200, { etag: tag, 'content-type': 'application/json' });
    response.end(JSON.stringify({ hosts }));
  }
}
