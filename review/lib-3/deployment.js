/* eslint-disable -- plain JavaScript, which the users' machine runs without a build */

'use strict';

// A small deployment on loopback: the platform's store, servers, and the system's own processes, started
// with the commands of deploy/system.toml. Everything keeps to the users' pages.

const { spawn } = require('node:child_process');
const { mkdtemp, readFile, rm, writeFile } = require('node:fs/promises');
const http = require('node:http');
const net = require('node:net');
const { tmpdir } = require('node:os');
const { join, resolve } = require('node:path');

const ROOT = resolve(__dirname, '..', '..');
const sleep = (ms) =>
  new Promise((done) => {
    setTimeout(done, ms);
  });

/** Lines of what was sent, answered and run, with the time since the start. */
class Record {
  constructor(path) {
    this.path = path;
    this.startedAt = performance.now();
    this.lines = [];
  }

  at() {
    return Math.round(performance.now() - this.startedAt);
  }

  add(text) {
    this.lines.push(`${this.at()} ms ${text}`);
  }

  /** Adds a line that is also printed. */
  say(text) {
    this.add(text);
    process.stdout.write(`${this.at()} ms ${text}\n`);
  }

  /** Writes the file. */
  flush() {
    return writeFile(this.path, this.lines.map((line) => `${line}\n`).join(''));
  }
}

/** The platform's store: range reads, watches and nothing else. */
class Store {
  constructor() {
    this.items = new Map();
    this.history = [];
    this.revision = 1;
    this.watches = new Set();
    this.server = http.createServer((request, response) => this.handle(request, response));
  }

  listen(ip, port) {
    return new Promise((done) => {
      this.server.listen(port, ip, done);
    });
  }

  close() {
    for (const watch of this.watches) clearTimeout(watch.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  put(key, value) {
    this.revision += 1;
    const bytes = Buffer.from(JSON.stringify(value));
    const old = this.items.get(key);
    this.change({
      key,
      value: bytes.toString('base64'),
      revision: this.revision,
      created_rev: old?.created_rev ?? this.revision,
      lease: 0,
    });
  }

  change(item) {
    if (item.deleted) this.items.delete(item.key);
    else this.items.set(item.key, item);
    this.history.push(item);
    for (const watch of [...this.watches])
      if (item.key.startsWith(watch.prefix)) this.answerWatch(watch);
  }

  handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const get = (name) => url.searchParams.get(name) ?? '';
    setTimeout(() => {
      if (url.pathname === '/api/kv-range') this.range(get('prefix'), get('after'), response);
      else if (url.pathname === '/api/kv-watch')
        this.watch(get('prefix'), Number(get('after')), Number(get('wait_ms')), response);
      else if (url.pathname === '/api/kv-key') {
        const item = this.items.get(get('key'));
        if (item === undefined) response.writeHead(404).end();
        else this.reply(response, item);
      } else response.writeHead(404).end();
    }, 4);
  }

  range(prefix, after, response) {
    const matching = [...this.items.values()]
      .filter((item) => item.key.startsWith(prefix) && item.key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const items = matching.slice(0, 500);
    this.reply(response, { items, has_more: matching.length > items.length, as_of: this.revision });
  }

  watch(prefix, after, waitMs, response) {
    const watch = { prefix, after, response, timer: null };
    if (this.eventsOf(watch).length > 0) {
      this.answerWatch(watch);
      return;
    }
    watch.timer = setTimeout(() => this.answerWatch(watch), Math.min(waitMs, 30_000));
    this.watches.add(watch);
    response.once('close', () => {
      clearTimeout(watch.timer);
      this.watches.delete(watch);
    });
  }

  eventsOf({ prefix, after }) {
    return this.history.filter((item) => item.revision > after && item.key.startsWith(prefix));
  }

  answerWatch(watch) {
    clearTimeout(watch.timer);
    this.watches.delete(watch);
    this.reply(watch.response, { events: this.eventsOf(watch), as_of: this.revision });
  }

  reply(response, body) {
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  }
}

/** A sound server of the platform. `onRun` is called with each request that it begins to run. */
class Server {
  constructor({ id, service, zone, address, slots = 6, workMs = 40, store, onArrival }) {
    Object.assign(this, { id, service, zone, address, slots, workMs, store, onArrival });
    this.running = 0;
    this.waiting = [];
    this.born = Date.now();
    this.sockets = new Set();
    /** Called when the whole answer to a request has been handed to the network. */
    this.onAnswered = () => {};
    /** Further headers of the answer to a request. */
    this.headersOf = () => ({});
    /** Time that the work for a request takes. */
    this.workMsOf = () => this.workMs;
    this.bodyOf = (requestId) => `answer of ${id} to ${requestId}\n`;
    this.server = http.createServer({ keepAliveTimeout: 10_000 }, (request, response) => {
      this.serve(request, response);
    });
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  listen() {
    const [ip, port] = this.address.split(':');
    return new Promise((done) => {
      this.server.listen(Number(port), ip, done);
    });
  }

  entry(state) {
    return {
      address: this.address,
      born: this.born,
      info: { service: this.service, version: 'v1', zone: this.zone, concurrency: this.slots },
      status: { state, sequence: 1, warmup_left_ms: 0 },
    };
  }

  register(state = 'ready') {
    this.store.put(`servers/${this.id}`, this.entry(state));
  }

  /** Ends the process of the server: what it still runs is lost. */
  exit() {
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  headers(extra) {
    return {
      'Upstream-Load': `${this.running},${this.waiting.length},${this.slots},100`,
      'Upstream-Instance': this.id,
      ...extra,
    };
  }

  serve(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('error', () => {});
    request.on('end', () => {
      if (request.url === '/healthz') {
        response.writeHead(200, this.headers({ 'Content-Length': 0 }));
        response.end();
        return;
      }
      this.take(request, response, Buffer.concat(chunks));
    });
  }

  take(request, response, body) {
    const requestId = request.headers['request-id'] ?? '';
    const expected = request.headers['expected-instance'];
    const common = { 'Request-Id': requestId, 'Content-Length': 0 };
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, this.headers(common));
      response.end();
      return;
    }
    const arrival = {
      requestId,
      server: this,
      at: performance.now(),
      method: request.method,
      path: request.url,
      body,
      headers: request.headers,
      rawHeaders: request.rawHeaders,
    };
    if (this.running >= this.slots) {
      this.onArrival({ ...arrival, ran: false });
      response.writeHead(503, this.headers({ ...common, 'Not-Executed': '1' }));
      response.end();
      return;
    }
    this.onArrival({ ...arrival, ran: true });
    this.running += 1;
    setTimeout(() => {
      this.running -= 1;
      const answer = Buffer.from(this.bodyOf(requestId, request));
      response.writeHead(
        200,
        this.headers({
          'Request-Id': requestId,
          'Upstream-Signature': `s.${this.id}.${requestId}`,
          'Content-Length': answer.length,
          ...this.headersOf(request),
        }),
      );
      response.end(answer, () => this.onAnswered(requestId, answer.length));
    }, this.workMsOf(request));
  }
}

async function renderTemplate(fields) {
  const lookup = (name) => name.split('.').reduce((value, part) => value?.[part], fields);
  const text = await readFile(join(ROOT, 'deploy/settings.template'), 'utf8');
  return text
    .replace(
      /\{\{#zones\}\}\{\{@\}\}\{\{,\}\}\{\{\/zones\}\}/g,
      Object.keys(fields.zones).join(','),
    )
    .replace(/\{\{([a-z_.]+)\}\}/g, (_, name) => {
      const value = lookup(name);
      return value === undefined ? '' : [value].flat().join(',');
    });
}

/** One machine of the system, with its process. */
class Machine {
  constructor({ name, zone, ip, fields, folder, record }) {
    Object.assign(this, { name, zone, ip, fields, folder, record });
    this.child = null;
    this.frontend = fields.listen.frontend;
  }

  async start() {
    const path = join(this.folder, `${this.name}.conf`);
    await writeFile(path, await renderTemplate({ ...this.fields, bootstrap: true }));
    const deploy = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
    const [command, ...args] = /^run = "([^"]+)"/m.exec(deploy)[1].split(' ');
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(command, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, LIMPETKNOT_NODE_FILE: path },
      stdio: 'ignore',
    });
    this.child = child;
    this.ended = new Promise((done) => {
      child.once('exit', (code, signal) => {
        if (this.child === child) this.child = null;
        done({ code, signal });
      });
    });
  }

  signal(name) {
    this.child?.kill(name);
  }

  get(port, path) {
    return new Promise((done) => {
      const request = http.get(
        { host: this.ip, port, path, timeout: 1000, agent: false },
        (response) => {
          const chunks = [];
          response.on('data', (chunk) => chunks.push(chunk));
          response.on('end', () =>
            done({ status: response.statusCode, body: Buffer.concat(chunks).toString() }),
          );
          response.on('error', () => done({ status: 0, body: '' }));
        },
      );
      request.on('error', () => done({ status: 0, body: '' }));
      request.on('timeout', () => request.destroy());
    });
  }

  async isReady() {
    return (
      (await this.get(Number(this.fields.listen.readiness.split(':')[1]), '/api/ready')).status ===
      200
    );
  }
}

function freePort(ip = '127.0.0.1') {
  return new Promise((done) => {
    const server = net.createServer();
    server.listen(0, ip, () => {
      const { port } = server.address();
      server.close(() => done(port));
    });
  });
}

/** Free ports that are the same on all machines. */
async function freePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = await freePort();
    if (!ports.includes(port)) ports.push(port);
  }
  return ports;
}

/** The deployment: store, servers and machines. */
class Deployment {
  constructor({ record, bounds, zones, limits = {} }) {
    this.record = record;
    this.bounds = bounds;
    this.zones = zones;
    this.limits = limits;
    this.folder = '';
    this.store = new Store();
    this.machines = [];
    this.servers = [];
    this.arrivals = [];
    this.subnet = 16 + Math.floor(Math.random() * 200);
    this.nextServerIp = 1;
  }

  async open() {
    this.folder = await mkdtemp(join(tmpdir(), 'limpetknot-review-'));
    [this.front, this.readiness, this.control, this.internal, this.storePort, this.serverPort] =
      await freePorts(6);
    this.storeIp = `127.${this.subnet}.250.1`;
    await this.store.listen(this.storeIp, this.storePort);
  }

  async addServer(options) {
    const address = `127.${this.subnet}.200.${this.nextServerIp}:${this.serverPort}`;
    this.nextServerIp += 1;
    const server = new Server({
      ...options,
      address,
      store: this.store,
      onArrival: (arrival) => this.arrivals.push(arrival),
    });
    await server.listen();
    server.register();
    this.servers.push(server);
    return server;
  }

  startMachines() {
    const zoneNames = Object.keys(this.zones);
    const ipOf = (zone, index) => `127.${this.subnet}.${zoneNames.indexOf(zone) + 1}.${index + 1}`;
    const seeds = zoneNames.slice(0, 3).map((zone) => `${ipOf(zone, 0)}:${this.control}`);
    for (const zone of zoneNames)
      for (let index = 0; index < this.zones[zone]; index += 1) {
        const ip = ipOf(zone, index);
        const name = `edge-${zone}-${index + 1}`;
        const fields = {
          node_name: name,
          zone,
          zones: Object.fromEntries(zoneNames.map((each) => [each, 'r'])),
          listen: {
            frontend: `${ip}:${this.front}`,
            readiness: `${ip}:${this.readiness}`,
            control_plane: `${ip}:${this.control}`,
          },
          // The template takes the first port of the range.
          internal_port_range: [this.internal],
          seeds,
          platform: { address: `${this.storeIp}:${this.storePort}` },
          bounds: this.bounds,
          limits: { memory_mb: 483, fd_limit: 10064, ...this.limits },
        };
        const machine = new Machine({
          name,
          zone,
          ip,
          fields,
          folder: this.folder,
          record: this.record,
        });
        this.machines.push(machine);
      }
    return Promise.all(this.machines.map((machine) => machine.start()));
  }

  /** Resolves to whether all machines were ready in time. */
  async waitReady(ms) {
    const until = performance.now() + ms;
    while (performance.now() < until) {
      const ready = await Promise.all(this.machines.map((machine) => machine.isReady()));
      if (ready.every(Boolean)) return true;
      await sleep(200);
    }
    return false;
  }

  async close() {
    for (const machine of this.machines) machine.signal('SIGKILL');
    await Promise.all(this.machines.map((machine) => machine.child && machine.ended));
    for (const server of this.servers) server.exit();
    this.store.close();
    await rm(this.folder, { recursive: true, force: true });
  }
}

const ROUTE_COLUMNS = [
  'name',
  'hostname',
  'prefix',
  'route_type',
  'timeout_ms',
  'target_latency_ms',
  'priority',
  'service',
  'max_attempts',
  'weighted_backends',
];

/** A configuration as the operator writes it. */
function configuration(version, routes, services, limits = {}) {
  return {
    version,
    routes: {
      columns: ROUTE_COLUMNS,
      rows: routes.map((route) => [
        route.name,
        route.host ?? 'test.example',
        route.prefix,
        route.type,
        route.timeoutMs ?? 1000,
        route.targetMs ?? 300,
        route.priority ?? 0,
        route.service ?? null,
        route.attempts ?? 2,
        route.parts ?? null,
      ]),
    },
    services: {
      columns: ['name', 'health_check_path', 'max_connections', 'warmup_s', 'warmup_per_s'],
      rows: services.map((name) => [name, '/healthz', 1020, 3, 21]),
    },
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 4_000_000,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
      ...limits,
    },
  };
}

module.exports = { configuration, Deployment, Record, sleep };
