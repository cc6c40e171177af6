import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo } from 'node:net';

/** How the platform responds to requests. */
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

function sheetVersion(text: string): number {
  const lines = text.split(/\r?\n/);
  const sectionLine = lines.indexOf('[sheet]');
  return Number(lines[sectionLine + 2]?.split(',')[0] ?? 0);
}

/** Stand-in for the platform: the configuration service and a host list that lags. */
export class PlatformStandin {
  /** Number of requests since the start; a watch counts as one. */
  readCount = 0;

  mode: PlatformMode = 'normal';

  private published: Published | null = null;

  private previous: Published | null = null;

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

  /** Publishes a sheet after `lagMs` and completes the watches of earlier versions. */
  publish(text: string, lagMs = 0): void {
    const apply = () => {
      this.previous = this.published;
      this.published = { version: sheetVersion(text), text };
      for (const watch of [...this.watches]) this.answerWatch(watch);
    };
    if (lagMs === 0) apply();
    else setTimeout(apply, lagMs).unref();
  }

  /** Number of open watches. */
  get waitingWatches(): number {
    return this.watches.size;
  }

  /** Sets the host list after `lagMs`. */
  setHosts(hosts: ReadonlyMap<string, 'live' | 'leaving'>, lagMs = 0): void {
    const apply = () => {
      this.hosts = hosts;
      this.hostsRevision += 1;
    };
    if (lagMs === 0) apply();
    else setTimeout(apply, lagMs).unref();
  }

  async stop(): Promise<void> {
    for (const watch of this.watches) clearTimeout(watch.timer);
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }

  private handle(request: IncomingMessage, response: ServerResponse): void {
    this.readCount += 1;
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
    return this.mode === 'stale' ? (this.previous ?? this.published) : this.published;
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
      timer: setTimeout(() => this.expireWatch(watch), wait),
    };
    this.watches.add(watch);
    response.once('close', () => this.removeWatch(watch));
    this.answerWatch(watch);
  }

  private answerWatch(watch: Watch): void {
    const current = this.current();
    if (current === null || current.version <= watch.after) return;
    this.removeWatch(watch);
    this.send(current, watch.response);
  }

  /** In partial mode, sends the first half of the text as if it were complete. */
  private send({ version, text }: Published, response: ServerResponse): void {
    const sent = this.mode === 'partial' ? text.slice(0, text.length / 2) : text;
    response.writeHead(200, { etag: `"${version}"` }).end(sent);
  }

  private expireWatch(watch: Watch): void {
    this.removeWatch(watch);
    watch.response.writeHead(304).end();
  }

  private removeWatch(watch: Watch): void {
    clearTimeout(watch.timer);
    this.watches.delete(watch);
  }

  private answerHosts(request: IncomingMessage, response: ServerResponse): void {
    const entityTag = `"${this.hostsRevision}"`;
    if (request.headers['if-none-match'] === entityTag) {
      response.writeHead(304).end();
      return;
    }
    const hosts = [...this.hosts].map(([id, state]) => ({ id, state }));
    response.writeHead(200, { etag: entityTag, 'content-type': 'application/json' });
    response.end(JSON.stringify({ hosts }));
  }
}
