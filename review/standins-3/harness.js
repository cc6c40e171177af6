/* eslint-disable max-classes-per-file -- a case needs all stand-ins, which are small. */
// Stand-ins of the platform, its servers and its consumers, and the start of the program by the command
// of deploy/system.toml. Everything listens on loopback addresses.
const { spawn } = require('node:child_process');
const fs = require('node:fs/promises');
const http = require('node:http');
const net = require('node:net');
const os = require('node:os');
const path = require('node:path');

const ROOT = path.join(__dirname, '..', '..');
const startedAt = performance.now();

/** Milliseconds since the start of the script. */
function now() {
  return performance.now() - startedAt;
}

function sleep(milliseconds) {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

/** What was sent, answered and run, by time. */
class Journal {
  constructor(file) {
    this.file = file;
    this.lines = [];
  }

  add(text) {
    this.lines.push(`${now().toFixed(1).padStart(9)} ms  ${text}`);
  }

  write() {
    return fs.writeFile(this.file, `${this.lines.join('\n')}\n`);
  }
}

function freePort(ip = '127.0.0.1') {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', reject);
    server.listen(0, ip, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** A port that is free on all of these addresses. */
async function commonPort(ips) {
  for (;;) {
    const port = await freePort(ips[0]);
    const checks = ips.slice(1).map(
      (ip) =>
        new Promise((resolve) => {
          const server = net.createServer();
          server.once('error', () => resolve(false));
          server.listen(port, ip, () => server.close(() => resolve(true)));
        }),
    );
    if (!(await Promise.all(checks)).includes(false)) return port;
  }
}

/** The path of one machine to the store. */
class StorePath {
  constructor(name, store) {
    this.name = name;
    this.store = store;
    this.isCut = false;
    /** Whether a watch of the machine waits at the store. */
    this.waiting = 0;
    this.server = http.createServer((request, response) => {
      if (this.isCut) return;
      if (request.url.startsWith('/api/kv-watch') && !request.url.endsWith('wait_ms=1')) {
        this.waiting += 1;
        response.once('close', () => {
          this.waiting -= 1;
        });
      }
      store.handle(request, response, () => this.isCut);
    });
  }

  async listen() {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Whether the machine reads the store for its zone. */
  isReader() {
    return this.waiting > 0;
  }
}

/** The platform's metadata store, as PROTOCOL.md describes it. */
class Store {
  constructor({ historyMs = 20_000 } = {}) {
    this.historyMs = historyMs;
    this.silenced = new WeakSet();
    this.items = new Map();
    this.history = [];
    this.revision = 100;
    this.compacted = 0;
    this.watches = new Set();
    this.paths = [];
    this.sockets = new Set();
    this.server = http.createServer((request, response) => this.handle(request, response));
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  async listen(ip = '127.0.0.1') {
    await new Promise((resolve) => {
      this.server.listen(0, ip, resolve);
    });
    this.address = `${ip}:${this.server.address().port}`;
  }

  close() {
    for (const watch of this.watches) clearTimeout(watch.timer);
    this.server.close();
    this.server.closeAllConnections();
    for (const opened of this.paths) opened.close();
  }

  /** A path of one machine to the store, which can be cut. */
  async openPath(name) {
    const opened = new StorePath(name, this);
    await opened.listen();
    this.paths.push(opened);
    return opened;
  }

  put(key, value) {
    const text = Buffer.from(JSON.stringify(value), 'utf8').toString('base64');
    this.revision += 1;
    const before = this.items.get(key);
    const item = {
      key,
      value: text,
      revision: this.revision,
      created_rev: before === undefined ? this.revision : before.created_rev,
      lease: 0,
    };
    this.items.set(key, item);
    this.change(item);
  }

  remove(key) {
    this.revision += 1;
    this.items.delete(key);
    this.change({ key, revision: this.revision, deleted: true });
  }

  /** From now on nothing more comes on the open connections; new ones work. */
  silence() {
    for (const watch of this.watches) clearTimeout(watch.timer);
    this.watches.clear();
    for (const socket of this.sockets) this.silenced.add(socket);
  }

  dropOldHistory() {
    const oldest = now() - this.historyMs;
    while (this.history.length > 0 && this.history[0].at < oldest)
      this.compacted = this.history.shift().item.revision;
  }

  change(item) {
    this.history.push({ at: now(), item });
    for (const watch of this.watches) {
      if (!item.key.startsWith(watch.prefix)) continue;
      clearTimeout(watch.timer);
      this.watches.delete(watch);
      this.answerWatch(watch);
    }
  }

  answerWatch({ prefix, after, response, isCut }) {
    if (isCut()) return;
    const events = this.history
      .map(({ item }) => item)
      .filter((item) => item.revision > after && item.key.startsWith(prefix));
    Store.reply(response, 200, { events, as_of: this.revision });
  }

  static reply(response, status, body) {
    const text = body === undefined ? '' : JSON.stringify(body);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  /** Answers a call, unless the path that it came on is cut by then. */
  handle(request, response, isCut = () => false) {
    if (this.silenced.has(request.socket)) return;
    this.dropOldHistory();
    const url = new URL(request.url, 'http://store');
    const prefix = url.searchParams.get('prefix') ?? '';
    if (url.pathname === '/api/kv-range') {
      const after = url.searchParams.get('after') ?? '';
      const items = [...this.items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      Store.reply(response, 200, {
        items: items.slice(0, 500),
        has_more: items.length > 500,
        as_of: this.revision,
      });
    } else if (url.pathname === '/api/kv-watch') this.watch(url, prefix, response, isCut);
    else if (url.pathname === '/api/kv-key') {
      const item = this.items.get(url.searchParams.get('key') ?? '');
      if (item === undefined) Store.reply(response, 404, {});
      else Store.reply(response, 200, { ...item, as_of: this.revision });
    } else Store.reply(response, 404, {});
  }

  watch(url, prefix, response, isCut) {
    const after = Number(url.searchParams.get('after'));
    if (after < this.compacted) {
      Store.reply(response, 410, {});
      return;
    }
    const watch = { prefix, after, response, isCut };
    const hasEvents = this.history.some(
      ({ item }) => item.revision > after && item.key.startsWith(prefix),
    );
    if (hasEvents) {
      this.answerWatch(watch);
      return;
    }
    const waitMs = Math.min(30_000, Number(url.searchParams.get('wait_ms')));
    watch.timer = setTimeout(() => {
      this.watches.delete(watch);
      this.answerWatch(watch);
    }, waitMs);
    this.watches.add(watch);
    response.once('close', () => {
      clearTimeout(watch.timer);
      this.watches.delete(watch);
    });
  }
}

/** A configuration as the operator writes it; `routes` are objects with the fields of PROTOCOL.md. */
function configuration(version, routes, limits = {}) {
  const routeColumns = [
    ...['name', 'hostname', 'prefix', 'route_type', 'timeout_ms', 'target_latency_ms'],
    ...['priority', 'service', 'max_attempts', 'weighted_backends'],
  ];
  const services = [...new Set(routes.map(({ service }) => service))];
  return {
    version,
    routes: {
      columns: routeColumns,
      rows: routes.map((route) => routeColumns.map((column) => route[column] ?? null)),
    },
    services: {
      columns: [
        ...['name', 'health_check_path', 'max_connections', 'protocol', 'tls'],
        ...['warmup_s', 'warmup_per_s'],
      ],
      rows: services.map((name) => [name, '/healthz', 260, 'h1', false, 3, 21]),
    },
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
      ...limits,
    },
  };
}

// The bodies of the cases do not end with a line of their own.
const LINE_END = Buffer.from('0\r\n\r\n', 'latin1');
const LONG_BYTES = 65_536;

/** Reads HTTP/1.1 requests with a length, without a body or in chunks from a stream of bytes. */
class RequestReader {
  constructor(onRequest) {
    this.onRequest = onRequest;
    this.buffered = Buffer.alloc(0);
  }

  add(chunk) {
    this.buffered = Buffer.concat([this.buffered, chunk]);
    // A long body is parsed once, when its last chunk has come.
    if (this.buffered.length > LONG_BYTES && !this.buffered.subarray(-5).equals(LINE_END)) return;
    for (let read = this.take(); read !== null; read = this.take()) this.onRequest(read);
  }

  take() {
    const headEnd = this.buffered.indexOf('\r\n\r\n');
    if (headEnd < 0) return null;
    const [first, ...lines] = this.buffered.subarray(0, headEnd).toString('latin1').split('\r\n');
    const [method, target] = first.split(' ');
    const headers = new Map(
      lines.map((line) => {
        const colon = line.indexOf(':');
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
      }),
    );
    const bodyStart = headEnd + 4;
    let end = bodyStart + Number(headers.get('content-length') ?? 0);
    let body = this.buffered.subarray(bodyStart, end);
    if (headers.get('transfer-encoding') === 'chunked') {
      const chunked = RequestReader.takeChunks(this.buffered, bodyStart);
      if (chunked === null) return null;
      ({ end, body } = chunked);
    }
    if (this.buffered.length < end) return null;
    this.buffered = this.buffered.subarray(end);
    return { method, path: target, headers, body };
  }

  static takeChunks(bytes, start) {
    const parts = [];
    for (let at = start; ;) {
      const lineEnd = bytes.indexOf('\r\n', at);
      if (lineEnd < 0) return null;
      const size = parseInt(bytes.subarray(at, lineEnd).toString('latin1'), 16);
      const dataEnd = lineEnd + 2 + size;
      if (bytes.length < dataEnd + 2) return null;
      if (size === 0) return { body: Buffer.concat(parts), end: dataEnd + 2 };
      parts.push(bytes.subarray(lineEnd + 2, dataEnd));
      at = dataEnd + 2;
    }
  }
}

/** A server: `workMs` for each request, in `slots` at once, and a queue; it drops what its caller leaves. */
class Server {
  constructor(id, journal, { workMs = 50, slots = 6, body = null } = {}) {
    Object.assign(this, { id, journal, workMs, slots, body });
    this.running = 0;
    this.waiting = [];
    this.arrivals = [];
    /** Runs: id, begin, end and whether the connection closed before the end. */
    this.runs = [];
    this.sockets = new Set();
    /** Called with each request; true if the stand-in of a case has handled it. */
    this.onRequest = () => false;
    this.server = net.createServer((socket) => this.accept(socket));
  }

  async listen(ip = '127.0.0.1', port = 0) {
    await new Promise((resolve) => {
      this.server.listen(port, ip, resolve);
    });
    this.address = `${ip}:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  /** The value of its entry in the store. */
  entry(service, state = 'ready', zone = 'a') {
    return {
      address: this.address,
      born: 1_700_000_000_000,
      info: { service, version: 'v1', zone, concurrency: this.slots },
      status: { state, sequence: 1, warmup_left_ms: 0 },
    };
  }

  accept(socket) {
    this.sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => {});
    socket.on('close', () => this.sockets.delete(socket));
    const reader = new RequestReader((request) => this.receive(socket, request));
    socket.on('data', (chunk) => reader.add(chunk));
  }

  load() {
    return `Upstream-Load: ${this.running},${this.waiting.length},${this.slots},100`;
  }

  receive(socket, request) {
    if (request.path === '/healthz') {
      this.write(socket, '200 OK', [`Upstream-Instance: ${this.id}`], '');
      return;
    }
    const id = request.headers.get('request-id') ?? '';
    this.arrivals.push({ id, at: now() });
    const expected = request.headers.get('expected-instance');
    if (expected !== undefined && expected !== this.id) {
      this.journal.add(`server ${this.id} answers ${id} with 421`);
      this.write(socket, '421 Misdirected Request', [`Request-Id: ${id}`], '');
      return;
    }
    if (this.onRequest(socket, request, id)) return;
    const task = { socket, id, request };
    if (this.running < this.slots) this.run(task);
    else this.waiting.push(task);
  }

  run({ socket, id, request }) {
    this.running += 1;
    const record = { id, method: request.method, body: request.body.length, begin: now() };
    this.runs.push(record);
    this.journal.add(`server ${this.id} runs ${request.method} ${request.path} ${id}`);
    let drop = () => {};
    const finish = (isWhole) => {
      if (record.end !== undefined) return;
      clearTimeout(record.timer);
      socket.off('close', drop);
      record.end = now();
      record.isWhole = isWhole;
      this.running -= 1;
      this.journal.add(`server ${this.id} ${isWhole ? 'has run' : 'drops'} ${id}`);
      const next = this.waiting.shift();
      if (next !== undefined) this.run(next);
    };
    drop = () => finish(false);
    record.timer = setTimeout(() => {
      finish(true);
      this.answer(socket, id);
    }, this.workMs);
    socket.once('close', drop);
  }

  answer(socket, id) {
    const body = this.body ?? `answer of ${this.id} to ${id}`;
    this.write(socket, '200 OK', [`Request-Id: ${id}`, `Upstream-Signature: sig.${id}`], body);
  }

  write(socket, status, headers, body) {
    const lines = [...headers, this.load(), `Content-Length: ${Buffer.byteLength(body)}`];
    socket.write(`HTTP/1.1 ${status}\r\n${lines.join('\r\n')}\r\n\r\n${body}`);
  }
}

/** The command of deploy/system.toml that starts the program. */
async function deployedCommand() {
  const text = await fs.readFile(path.join(ROOT, 'deploy', 'system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** The settings of a process: the template of the deploy file with values of a small deployment. */
async function renderedSettings(values) {
  const text = await fs.readFile(path.join(ROOT, 'deploy', 'settings.template'), 'utf8');
  return text
    .replace(/\{\{#zones\}\}.*?\{\{\/zones\}\}/, values.zones.join(','))
    .replaceAll(/\{\{([^}]+)\}\}/g, (match, name) => String(values[name] ?? ''));
}

const children = new Set();

// Also at the end of a case that took too long or was stopped.
process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});

/** One machine of the system. */
class Machine {
  constructor(name, journal, values) {
    this.name = name;
    this.journal = journal;
    this.values = values;
    this.output = '';
    this.folder = null;
    this.exited = null;
  }

  async start() {
    this.folder ??= await fs.mkdtemp(path.join(os.tmpdir(), 'review-'));
    const file = path.join(this.folder, 'settings');
    await fs.writeFile(file, await renderedSettings(this.values));
    const [program, ...others] = await deployedCommand();
    this.child = spawn(program, others, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: this.folder, LIMPETKNOT_NODE_FILE: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    children.add(this.child);
    const append = (chunk) => {
      this.output += chunk.toString('utf8');
    };
    this.child.stdout.on('data', append);
    this.child.stderr.on('data', append);
    this.exited = new Promise((resolve) => {
      this.child.once('close', (code, signal) => {
        children.delete(this.child);
        this.journal.add(`process of ${this.name} has ended: ${code ?? signal}`);
        resolve(code ?? signal);
      });
    });
  }

  readiness() {
    return new Promise((resolve) => {
      const request = http.get(
        `http://${this.values['listen.readiness']}/api/ready`,
        { agent: false, timeout: 500 },
        (response) => {
          response.resume();
          resolve(response.statusCode);
        },
      );
      request.on('error', () => resolve(0));
      request.on('timeout', () => request.destroy());
    });
  }

  async untilReady() {
    for (let attempt = 0; attempt < 400; attempt += 1) {
      if ((await this.readiness()) === 200) return;
      await sleep(25);
    }
    throw new Error(`${this.name} was not ready: ${this.output.slice(-2000)}`);
  }

  async close() {
    if (this.child !== undefined && this.child.exitCode === null) this.child.kill('SIGKILL');
    if (this.exited !== null) await this.exited;
    if (this.folder !== null) await fs.rm(this.folder, { recursive: true, force: true });
  }
}

/**
 * Machines with one address each, 127.0.0.1 and on, with the same ports, in zone `a` or the given ones; each has
 * its path to the store, if there are paths.
 */
async function makeMachines(journal, store, zones = ['a'], paths = []) {
  const ips = zones.map((zone, index) => `127.0.0.${index + 1}`);
  const ports = [];
  while (ports.length < 4) {
    const port = await commonPort(ips);
    if (!ports.includes(port)) ports.push(port);
  }
  const [frontend, readiness, control, exchange] = ports;
  return zones.map((zone, index) => {
    const ip = ips[index];
    return new Machine(`edge-${index + 1}`, journal, {
      node_name: `edge-${index + 1}`,
      zone,
      zones: [...new Set(zones)],
      'listen.frontend': `${ip}:${frontend}`,
      'listen.readiness': `${ip}:${readiness}`,
      'listen.control_plane': `${ip}:${control}`,
      internal_port_range: `${exchange},${exchange + 15}`,
      seeds: ips.slice(0, 3).map((seed) => `${seed}:${control}`),
      'platform.address': (paths[index] ?? store).address,
      bootstrap: true,
      heartbeat_ms: 1500,
      'limits.memory_mb': 350,
      'limits.fd_limit': 4100,
      'bounds.grace_s': 6,
      'bounds.config_apply_ms': 2000,
      'bounds.drain_ms': 2000,
      'bounds.retry_budget_ratio': 0.2,
      'bounds.budget_slack': 62,
      'bounds.budget_window_s': 10,
    });
  });
}

/** A consumer's connection, byte by byte. */
class Consumer {
  constructor(address) {
    const [host, port] = address.split(':');
    this.bytes = Buffer.alloc(0);
    this.closedAt = null;
    this.socket = net.connect({ host, port: Number(port), noDelay: true });
    this.socket.on('error', () => {});
    this.socket.on('data', (chunk) => {
      this.bytes = Buffer.concat([this.bytes, chunk]);
    });
    this.closed = new Promise((resolve) => {
      this.socket.once('close', () => {
        this.closedAt = now();
        resolve();
      });
    });
  }

  write(text) {
    this.socket.write(text);
  }

  text() {
    return this.bytes.toString('latin1');
  }

  leave() {
    this.socket.destroy();
  }
}

/** The head of a request, with an empty line. */
function head(method, target, id, deadlineMs, others = []) {
  return [
    `${method} ${target} HTTP/1.1`,
    'Host: shop.example',
    `Request-Id: ${id}`,
    `Deadline-Ms: ${deadlineMs}`,
    ...others,
    '\r\n',
  ].join('\r\n');
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
async function runCase(folder, body) {
  const journal = new Journal(path.join(folder, 'record.txt'));
  const hasTrouble = process.env.TROUBLE !== '0';
  journal.add(hasTrouble ? 'with the disruption' : 'without the disruption');
  const closers = [];
  // eslint-disable-next-line n/no-process-exit
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => process.exit(2));
  const limit = setTimeout(() => {
    journal.add('the case took too long');
    // eslint-disable-next-line n/no-process-exit
    void journal.write().finally(() => process.exit(2));
  }, 110_000);
  let code = 2;
  try {
    const broken = await body({ journal, hasTrouble, own: (closer) => closers.push(closer) });
    code = broken ? 1 : 0;
    journal.add(broken ? 'the rule was broken' : 'the rule held');
  } catch (error) {
    journal.add(`the case could not run: ${error.stack}`);
  }
  clearTimeout(limit);
  for (const closer of closers.reverse()) await closer();
  await journal.write();
  process.stdout.write(`${journal.lines.slice(-12).join('\n')}\n`);
  // Stand-ins may keep handles open.
  // eslint-disable-next-line n/no-process-exit
  process.exit(code);
}

module.exports = {
  configuration,
  Consumer,
  freePort,
  head,
  Journal,
  Machine,
  makeMachines,
  now,
  RequestReader,
  runCase,
  Server,
  sleep,
  Store,
};
