import {
  createServer,
  type IncomingMessage,
  type OutgoingHttpHeaders,
  type Server,
  type ServerResponse,
} from 'node:http';

/**
 * How the store responds: `busy` with 503, `tooMany` with 429, `silent` never; `reset` resets and
 * `loses` closes the connection.
 */
export type StoreMode = 'well' | 'busy' | 'tooMany' | 'silent' | 'reset' | 'loses';

/**
 * How the store answers confirmations, which are watches that do not wait: `drops` never, `old` with the
 * state as of the moment at which this was set.
 */
export type ConfirmationMode = 'well' | 'drops' | 'old';

// A watch with a shorter wait than this is a confirmation.
const MIN_WATCH_MS = 2;
const API_PREFIX = '/api/';

interface Item {
  readonly key: string;
  readonly revision: number;
  readonly value?: string;
  readonly deleted?: true;
}

interface Watch {
  readonly prefix: string;
  readonly after: number;
  readonly response: ServerResponse;
  readonly timer: NodeJS.Timeout;
}

/** Stand-in for the platform's key-value store: paged range reads, watches and failure modes. */
export class StoreStandin {
  private items = new Map<string, Item>();

  private history: Item[] = [];

  private revision = 1;

  private compactedRevision = 0;

  private readonly watches = new Set<Watch>();

  private mode: StoreMode = 'well';

  private calls = 0;

  private confirmationMode: ConfirmationMode = 'well';

  private oldRevision = 0;

  private confirmations = 0;

  private readonly server: Server;

  /** Time for which the answer to a confirmation, with the state before, is on its way. */
  confirmationDelayMs = 0;

  /** Maximum number of items in a page of a range read. */
  pageSize = 500;

  /** Changes the bytes of each reply; null sends them as they are. */
  mangle: ((reply: string) => string) | null = null;

  /** Value of the header `Store-Era` in place of the era; null sends none. */
  eraHeader: string | string[] | null | undefined = undefined;

  private era = 0;

  /** Time before each request is handled, in milliseconds. */
  delayMs = 0;

  /** While set, reads are answered with the items as of this moment. */
  private frozen: { readonly items: ReadonlyMap<string, Item>; readonly revision: number } | null =
    null;

  constructor() {
    this.server = createServer((request, response) => {
      if (this.delayMs === 0) this.handleRequest(request, response);
      else setTimeout(() => this.handleRequest(request, response), this.delayMs);
    });
  }

  /** Listens on a loopback address; resolves to `IP:port`. */
  listen(ip = '127.0.0.1'): Promise<string> {
    return new Promise((resolve) => {
      this.server.listen(0, ip, () => {
        const address = this.server.address() as { port: number };
        resolve(`${ip}:${address.port}`);
      });
    });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    for (const watch of this.watches) clearTimeout(watch.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Sets the mode for subsequent requests. */
  setMode(mode: StoreMode): void {
    this.mode = mode;
  }

  /** Sets how subsequent confirmations are answered. */
  setConfirmationMode(mode: ConfirmationMode): void {
    this.confirmationMode = mode;
    this.oldRevision = this.revision;
  }

  /** Number of confirmations since the start. */
  confirmationCount(): number {
    return this.confirmations;
  }

  /** Number of requests to the interface of the store since the start. */
  callCount(): number {
    return this.calls;
  }

  /** Serves range reads from the present state, whatever changes later; false ends that. */
  serveOldReads(isOld: boolean): void {
    this.frozen = isOld ? { items: new Map(this.items), revision: this.revision } : null;
  }

  /** Writes a value as JSON; returns its revision. */
  put(key: string, value: unknown): number {
    return this.putBytes(key, Buffer.from(JSON.stringify(value), 'utf8'));
  }

  /** Writes arbitrary bytes, which need not be JSON; returns their revision. */
  putBytes(key: string, bytes: Buffer): number {
    this.revision += 1;
    return this.applyChange({ key, revision: this.revision, value: bytes.toString('base64') });
  }

  /** Deletes a key; returns the revision of the deletion. */
  remove(key: string): number {
    this.revision += 1;
    return this.applyChange({ key, revision: this.revision, deleted: true });
  }

  /**
   * Restores the state as of a revision in a new era; later revisions are assigned again. Open watches stay
   * open. Values that were overwritten before the last compaction cannot be restored.
   */
  restore(toRevision: number): void {
    this.era += 1;
    this.revision = toRevision;
    this.history = this.history.filter(({ revision }) => revision <= toRevision);
    const older = [...this.items].filter(([, { revision }]) => revision <= toRevision);
    this.items = new Map(older);
    for (const item of this.history)
      if (item.deleted) this.items.delete(item.key);
      else this.items.set(item.key, item);
  }

  /** Discards the history, so that watches from earlier revisions get 410; closes open watches. */
  compactHistory(): void {
    this.history = [];
    this.compactedRevision = this.revision;
    for (const watch of this.watches) {
      clearTimeout(watch.timer);
      watch.response.destroy();
    }
    this.watches.clear();
  }

  private applyChange(item: Item): number {
    if (item.deleted) this.items.delete(item.key);
    else this.items.set(item.key, item);
    this.history.push(item);
    for (const watch of this.watches) {
      if (!item.key.startsWith(watch.prefix)) continue;
      clearTimeout(watch.timer);
      this.watches.delete(watch);
      this.sendChanges(watch.prefix, watch.after, watch.response);
    }
    return item.revision;
  }

  private handleRequest(request: IncomingMessage, response: ServerResponse): void {
    // Another test may still send health checks to a server that had this port.
    if (request.url?.startsWith(API_PREFIX) !== true) {
      response.writeHead(404).end();
      return;
    }
    this.calls += 1;
    if (this.mode === 'silent') return;
    if (this.mode === 'reset') {
      request.socket.resetAndDestroy();
      return;
    }
    if (this.mode === 'loses') {
      request.socket.destroy();
      return;
    }
    if (this.mode !== 'well') {
      response.writeHead(this.mode === 'busy' ? 503 : 429).end();
      return;
    }
    const url = new URL(request.url ?? '/', 'http://store');
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = url.searchParams.get('after') ?? '';
    if (url.pathname === '/api/kv-range') this.sendPage(prefix, after, response);
    else if (url.pathname === '/api/kv-watch') {
      this.watch(prefix, Number(after), Number(url.searchParams.get('wait_ms')), response);
    } else response.writeHead(404).end();
  }

  private sendPage(prefix: string, after: string, response: ServerResponse): void {
    const { items: present, revision } = this.frozen ?? {
      items: this.items,
      revision: this.revision,
    };
    const matching = [...present.values()]
      .filter((item) => item.key.startsWith(prefix) && item.key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const items = matching.slice(0, this.pageSize);
    const body = { items, has_more: matching.length > items.length, as_of: revision };
    this.reply(response, body);
  }

  private watch(prefix: string, after: number, waitMs: number, response: ServerResponse): void {
    if (after < this.compactedRevision || after > this.revision) {
      response.writeHead(410, this.eraHeaders()).end();
      return;
    }
    if (waitMs < MIN_WATCH_MS) {
      this.confirm(prefix, after, response);
      return;
    }
    const hasChanges = this.history.some(
      (item) => item.revision > after && item.key.startsWith(prefix),
    );
    if (hasChanges) {
      this.sendChanges(prefix, after, response);
      return;
    }
    const expireWatch = () => {
      for (const watch of this.watches) if (watch.response === response) this.watches.delete(watch);
      this.sendChanges(prefix, after, response);
    };
    this.watches.add({ prefix, after, response, timer: setTimeout(expireWatch, waitMs) });
  }

  private confirm(prefix: string, after: number, response: ServerResponse): void {
    this.confirmations += 1;
    if (this.confirmationMode === 'drops') return;
    const asOf = this.confirmationMode === 'old' ? this.oldRevision : this.revision;
    const changes = { events: this.changes(prefix, after, asOf), as_of: asOf };
    setTimeout(() => this.reply(response, changes), this.confirmationDelayMs);
  }

  private changes(prefix: string, after: number, asOf: number): readonly Item[] {
    return this.history.filter(
      ({ revision, key }) => revision > after && revision <= asOf && key.startsWith(prefix),
    );
  }

  private sendChanges(prefix: string, after: number, response: ServerResponse): void {
    const events = this.changes(prefix, after, this.revision);
    this.reply(response, { events, as_of: this.revision });
  }

  private eraHeaders(): OutgoingHttpHeaders {
    const value = this.eraHeader === undefined ? String(this.era) : this.eraHeader;
    return value === null ? {} : { 'Store-Era': value };
  }

  private reply(response: ServerResponse, body: unknown): void {
    const text = JSON.stringify(body);
    response.writeHead(200, this.eraHeaders());
    response.end(this.mangle === null ? text : this.mangle(text));
  }
}
