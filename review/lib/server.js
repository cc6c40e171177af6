/* eslint-disable -- plain Node.js without the conventions of the product */
// A server of the users' platform, as PROTOCOL.md describes a sound one.
'use strict';

const { createServer } = require('node:http');

class Server {
  constructor(record, { id, service, slots = 6, workMs = () => 50, answerBytes = 0 }) {
    Object.assign(this, { record, id, service, slots, workMs, answerBytes });
    this.runs = [];
    this.running = 0;
    this.isLeaving = false;
    this.isCrashing = () => false;
    this.rejectsEarly = () => false;
    this.sockets = new Set();
    this.port = 0;
  }

  /** Listens; the port stays the same after a crash. */
  async listen() {
    this.server = createServer({ keepAliveTimeout: 10_000 }, (request, response) =>
      this.serve(request, response),
    );
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('error', () => {});
      socket.once('close', () => this.sockets.delete(socket));
    });
    await new Promise((resolve) => this.server.listen(this.port, '127.0.0.1', resolve));
    this.port = this.server.address().port;
    return `127.0.0.1:${this.port}`;
  }

  /** The value of the server's entry in the store. */
  entry(zone, born, state = 'ready') {
    return {
      address: `127.0.0.1:${this.port}`,
      born,
      info: { service: this.service, version: 'v1', zone, concurrency: this.slots },
      status: { state, sequence: 1, warmup_left_ms: 0 },
    };
  }

  /** Ends the server: open connections break, new ones are refused. */
  end(why) {
    this.record.add(this.id, why);
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  load() {
    return `${Math.min(this.running, this.slots)},${Math.max(0, this.running - this.slots)},${this.slots},100`;
  }

  serve(request, response) {
    if (this.isLeaving) response.setHeader('Connection', 'close');
    response.setHeader('Upstream-Load', this.load());
    if (request.url === '/healthz') {
      response.setHeader('Upstream-Instance', this.id);
      response.writeHead(this.isLeaving ? 503 : 200, { 'Content-Length': 0 }).end();
      return;
    }
    const id = request.headers['request-id'] ?? '';
    if (this.rejectsEarly(request)) {
      this.rejectEarly(request, response, id);
      return;
    }
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => this.run(request, response, id, Buffer.concat(chunks).toString()));
    request.on('error', () => {});
  }

  // Answers before the body is in, keeps the connection and reads on.
  rejectEarly(request, response, id) {
    this.record.add(
      this.id,
      `${id} ${request.method} ${request.url} rejected before its body is in`,
    );
    this.runs.push({ id, at: this.record.now(), path: request.url, end: 'rejected early' });
    const headers = { 'Request-Id': id, 'Upstream-Signature': `sig.${id}`, 'Content-Length': 8 };
    response.writeHead(422, headers).end('rejected');
    request.on('error', () => {});
    request.resume();
  }

  run(request, response, id, body) {
    const refuse = (status, why) => {
      this.record.add(this.id, `${id} rejected with ${status}: ${why}`);
      const headers = { 'Request-Id': id, 'Not-Executed': '1', 'Content-Length': 0 };
      response.writeHead(status, headers).end();
    };
    const expected = request.headers['expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      refuse(421, `meant for ${expected}`);
      return;
    }
    if (this.running >= this.slots * 2) {
      refuse(503, 'full');
      return;
    }
    const at = this.record.add(this.id, `${id} ${request.method} ${request.url} begins to run`);
    const entry = { id, at, path: request.url, method: request.method, end: 'unfinished' };
    this.runs.push(entry);
    if (this.isCrashing(request)) {
      entry.end = 'crashed';
      this.onCrash(entry);
      return;
    }
    this.running += 1;
    const queueFactor = Math.max(1, this.running / this.slots);
    const text = `answer of ${this.id} to ${id}`.padEnd(this.answerBytes, '.');
    const timer = setTimeout(
      () => {
        this.running -= 1;
        entry.end = 'done';
        this.record.add(this.id, `${id} done`);
        response.writeHead(200, {
          'Request-Id': id,
          'Upstream-Signature': `sig.${id}`,
          'Upstream-Load': this.load(),
          'Content-Length': text.length,
        });
        response.end(text);
      },
      this.workMs(request) * queueFactor,
    );
    response.once('close', () => {
      if (entry.end !== 'unfinished') return;
      clearTimeout(timer);
      this.running -= 1;
      entry.end = 'dropped';
      this.record.add(this.id, `${id} dropped: its connection closed`);
    });
  }
}

module.exports = { Server };
