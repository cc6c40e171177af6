/* eslint-disable */
/* eslint n/no-sync: "off" */
'use strict';

// The platform's metadata store, as PROTOCOL.md describes it: range reads, watches that wait, revisions.
// `cutWatches` closes the connections of the watches that wait ("A watch that is waiting may be cut").

const http = require('node:http');

const PAGE_ITEMS = 500;

class Store {
  constructor() {
    this.items = new Map();
    this.history = [];
    this.revision = 1;
    this.watches = new Set();
    this.calls = 0;
    this.server = http.createServer((request, response) => this.handle(request, response));
    this.server.keepAliveTimeout = 60_000;
  }

  listen(ip, port) {
    return new Promise((resolve) => {
      this.server.listen(port, ip, () => resolve(`${ip}:${this.server.address().port}`));
    });
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a value; returns the time of the confirmation. */
  put(key, value) {
    const bytes = Buffer.from(JSON.stringify(value), 'utf8').toString('base64');
    this.change({ key, value: bytes, lease: 0 });
    return performance.now();
  }

  /** Removes an entry; returns the time of the confirmation. */
  remove(key) {
    this.change({ key, deleted: true });
    return performance.now();
  }

  /** Closes the connection of each watch that waits; returns how many. All else is served as usual. */
  cutWatches() {
    const cut = [...this.watches];
    this.watches.clear();
    for (const { response, timer } of cut) {
      clearTimeout(timer);
      response.socket.destroy();
    }
    return cut.length;
  }

  change(fields) {
    this.revision += 1;
    const { key } = fields;
    const known = this.items.get(key);
    const item = { ...fields, revision: this.revision };
    if (fields.deleted === true) this.items.delete(key);
    else {
      item.created_rev = known?.created_rev ?? this.revision;
      this.items.set(key, item);
    }
    this.history.push(item);
    for (const watch of [...this.watches]) if (key.startsWith(watch.prefix)) this.answer(watch);
  }

  answer(watch) {
    this.watches.delete(watch);
    clearTimeout(watch.timer);
    const events = this.history.filter(
      (item) => item.revision > watch.after && item.key.startsWith(watch.prefix),
    );
    this.reply(watch.response, 200, { events, as_of: this.revision });
  }

  handle(request, response) {
    this.calls += 1;
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    const prefix = query.get('prefix') ?? '';
    if (url.pathname === '/api/kv-key') {
      const item = this.items.get(query.get('key') ?? '');
      this.reply(response, item === undefined ? 404 : 200, { ...item, as_of: this.revision });
    } else if (url.pathname === '/api/kv-range') {
      const after = query.get('after') ?? '';
      const found = [...this.items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      const items = found.slice(0, PAGE_ITEMS);
      const hasMore = found.length > PAGE_ITEMS;
      this.reply(response, 200, { items, has_more: hasMore, as_of: this.revision });
    } else if (url.pathname === '/api/kv-watch') {
      this.watch(query, prefix, response);
    } else this.reply(response, 404, {});
  }

  watch(query, prefix, response) {
    const waitMs = Math.min(30_000, Number(query.get('wait_ms') ?? 0));
    const watch = { prefix, after: Number(query.get('after') ?? 0), response, timer: null };
    const hasEvents = this.history.some(
      (item) => item.revision > watch.after && item.key.startsWith(prefix),
    );
    if (hasEvents || waitMs === 0) {
      this.answer(watch);
      return;
    }
    watch.timer = setTimeout(() => this.answer(watch), waitMs);
    this.watches.add(watch);
    response.on('close', () => {
      clearTimeout(watch.timer);
      this.watches.delete(watch);
    });
  }

  reply(response, status, body) {
    // An answer takes 4 ms.
    setTimeout(() => {
      if (response.destroyed) return;
      const text = JSON.stringify(body);
      response.writeHead(status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
    }, 4);
  }
}

module.exports = { Store };
