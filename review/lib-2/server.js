/* eslint-disable */
/* eslint n/no-sync: "off" */
'use strict';

// A sound server of the platform (PROTOCOL.md, "Servers"). It notes each request that arrives and how its run ends.

const http = require('node:http');

class Server {
  constructor({ id, service, zone, workMs, slots = 6, losesAnswer = () => false }) {
    Object.assign(this, { id, service, zone, workMs, slots, losesAnswer });
    this.born = Date.now();
    this.running = 0;
    this.queue = [];
    /** { id, at, end, endAt }: `end` is ran, cut (its connection closed while it ran) or refused. */
    this.arrivals = [];
    this.server = http.createServer((request, response) => this.handle(request, response));
    this.server.keepAliveTimeout = 10_000;
    this.hasEnded = false;
  }

  listen(ip) {
    return new Promise((resolve) => {
      this.server.listen(0, ip, () => {
        this.address = `${ip}:${this.server.address().port}`;
        resolve();
      });
    });
  }

  entry(state = 'ready') {
    const { service, zone, slots, address, born } = this;
    return {
      address,
      born,
      info: { service, version: 'v1', zone, concurrency: slots },
      status: { state, sequence: 1, warmup_left_ms: 0 },
    };
  }

  /** The process exits: its listener and all its connections close. */
  exit() {
    this.hasEnded = true;
    this.server.close();
    this.server.closeAllConnections();
  }

  load() {
    return `${this.running},${this.queue.length},${this.slots},100`;
  }

  handle(request, response) {
    const { headers } = request;
    if (request.url === '/healthz') {
      this.reply(response, 200, { 'upstream-instance': this.id }, '');
      return;
    }
    const at = performance.now();
    const id = headers['request-id'];
    const arrival = { id, at, method: request.method, end: null, endAt: null };
    const expected = headers['expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      this.reply(response, 421, { 'request-id': id }, '');
      return;
    }
    this.arrivals.push(arrival);
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const start = () => this.run(arrival, request, response, Buffer.concat(chunks));
      if (this.running < this.slots) start();
      else if (this.queue.length < 24) this.queue.push(start);
      else {
        arrival.end = 'refused';
        this.reply(response, 503, { 'request-id': id, 'not-executed': '1' }, '');
      }
    });
  }

  run(arrival, request, response, body) {
    this.running += 1;
    arrival.body = body.toString('latin1');
    arrival.path = request.url;
    let hasEnded = false;
    const end = (how) => {
      if (hasEnded) return;
      hasEnded = true;
      arrival.end = how;
      arrival.endAt = performance.now();
      this.running -= 1;
      this.queue.shift()?.();
    };
    const timer = setTimeout(() => {
      end('ran');
      // The answer is lost; the connection stays.
      if (this.losesAnswer(request)) return;
      const headers = {
        'request-id': arrival.id,
        'upstream-signature': `${this.id}.${arrival.id}`,
      };
      this.reply(response, 200, headers, `answer of ${this.id} to ${arrival.id}`);
    }, this.workMs);
    response.on('close', () => {
      clearTimeout(timer);
      end('cut');
    });
  }

  reply(response, status, headers, body) {
    if (response.destroyed) return;
    response.writeHead(status, {
      ...headers,
      'upstream-load': this.load(),
      'content-length': Buffer.byteLength(body),
    });
    response.end(body);
  }
}

module.exports = { Server };
