/* eslint-disable -- plain Node.js without the conventions of the product */
// Machines of a small deployment: each runs the project's program as a process of its own, with the
// command of deploy/system.toml and a settings file filled in from deploy/settings.template.
'use strict';

const { spawn } = require('node:child_process');
const { createSocket } = require('node:dgram');
const fs = require('node:fs/promises');
const { createServer, get } = require('node:http');
const net = require('node:net');
const os = require('node:os');
const path = require('node:path');

const ROOT = path.join(__dirname, '..', '..');
const readDeployFile = (name) => fs.readFile(path.join(ROOT, 'deploy', name), 'utf8');

// Processes that still run when the script ends, for whatever reason, are ended with it.
const running = new Set();
process.on('exit', () => running.forEach((child) => child.kill('SIGKILL')));
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.once(signal, () => process.exit(2));

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Writes lines with their time in milliseconds since the start of the case. */
class Record {
  constructor(folder) {
    this.startedAt = performance.now();
    this.lines = [];
    this.file = path.join(folder, 'record.txt');
  }

  now() {
    return performance.now() - this.startedAt;
  }

  add(who, what) {
    const at = this.now();
    this.lines.push([at, `${at.toFixed(1).padStart(9)}  ${who.padEnd(12)} ${what}`]);
    return at;
  }

  save() {
    return fs.writeFile(this.file, `${this.lines.map(([, line]) => line).join('\n')}\n`);
  }
}

function render(fields, entry, text) {
  const value = (name) => {
    if (name === '@') return entry.key;
    if (name === ',') return entry.isLast ? '' : ',';
    const found = name.split('.').reduce((at, part) => at?.[part], fields);
    return Array.isArray(found) ? found.join(',') : String(found ?? '');
  };
  const withSections = text.replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, name, inner) => {
    const keys = Object.keys(fields[name]);
    return keys
      .map((key, index) => render(fields, { key, isLast: index === keys.length - 1 }, inner))
      .join('');
  });
  return withSections.replace(/\{\{([@,\w.]+)\}\}/g, (_, name) => value(name));
}

async function isFree(port, ips) {
  for (const ip of ips) {
    const tcp = await new Promise((resolve) => {
      const server = net.createServer();
      server.once('error', () => resolve(false));
      server.listen(port, ip, () => server.close(() => resolve(true)));
    });
    const udp = await new Promise((resolve) => {
      const socket = createSocket('udp4');
      socket.once('error', () => resolve(false));
      socket.bind(port, ip, () => socket.close(() => resolve(true)));
    });
    if (!tcp || !udp) return false;
  }
  return true;
}

/** Ports that are free on all addresses. */
async function freePorts(count, ips) {
  const ports = [];
  let port = 20_000 + (process.pid % 8000);
  while (ports.length < count) {
    port += 1;
    if (port === 9464) continue;
    if (await isFree(port, ips)) ports.push(port);
  }
  return ports;
}

/** One machine: its address, its settings file and its process. */
class Machine {
  constructor(record, place, settings, ports, deploy) {
    Object.assign(this, { record, ...place, settings, ports, ...deploy });
    this.log = '';
    this.child = null;
  }

  /** Starts the program; resolves when its process exists, before it is ready. */
  async start(isFirst) {
    const file = path.join(this.folder, 'settings');
    const fields = { ...this.settings, bootstrap: isFirst };
    await fs.writeFile(file, render(fields, {}, this.template));
    const [program, ...words] = this.runLine;
    const { PATH, HOME, LANG } = process.env;
    this.child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, LIMPETKNOT_NODE_FILE: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const keep = (chunk) => {
      this.log += chunk.toString('utf8');
    };
    this.child.stdout.on('data', keep);
    this.child.stderr.on('data', keep);
    this.record.add(this.name, `process started${isFirst ? '' : ' again'}`);
    const { child } = this;
    running.add(child);
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        running.delete(child);
        this.record.add(this.name, `process ended: ${signal ?? `code ${code}`}`);
        resolve(code);
      });
    });
  }

  signal(name) {
    this.record.add(this.name, `sent ${name}`);
    this.child.kill(name);
  }

  readiness() {
    return new Promise((resolve) => {
      const url = `http://${this.ip}:${this.ports.readiness}/api/ready`;
      get(url, { agent: false, timeout: 500 }, (response) => {
        response.resume();
        resolve(response.statusCode);
      }).on('error', () => resolve(0));
    });
  }

  async untilReady() {
    for (let turn = 0; turn < 500; turn += 1) {
      if ((await this.readiness()) === 200) return;
      await sleep(20);
    }
    throw new Error(`${this.name} did not get ready: ${this.log.slice(-2000)}`);
  }

  /** What the machine says of itself at its control address. */
  status() {
    return new Promise((resolve, reject) => {
      const url = `http://${this.ip}:${this.ports.control}/status`;
      get(url, { agent: false, timeout: 1000 }, (response) => {
        let text = '';
        response.on('data', (chunk) => {
          text += chunk;
        });
        response.on('end', () => resolve(JSON.parse(text)));
      }).on('error', reject);
    });
  }

  /** Ends the process, if it still runs, and removes its files. */
  async close() {
    if (this.child !== null && this.child.exitCode === null && this.child.signalCode === null) {
      this.child.kill('SIGKILL');
      await this.exited;
    }
    await fs.rm(this.folder, { recursive: true, force: true });
  }
}

/** Makes the machines of a deployment; `zones` lists the number of machines of each zone. */
async function makeMachines(record, zones, platform, bounds) {
  const octets = `127.${20 + (process.pid % 200)}`;
  const places = Object.entries(zones).flatMap(([zone, count], zoneIndex) =>
    Array.from({ length: count }, (_, index) => ({
      zone,
      name: `edge-${zone}-${index + 1}`,
      ip: `${octets}.${zoneIndex + 1}.${index + 1}`,
    })),
  );
  const [frontend, readiness, control, exchange] = await freePorts(
    4,
    places.map(({ ip }) => ip),
  );
  const ports = { frontend, readiness, control, exchange };
  const seeds = Object.keys(zones).map(
    (zone) => `${places.find((place) => place.zone === zone).ip}:${control}`,
  );
  const [, run] = /^run = "(.*)"$/m.exec(await readDeployFile('system.toml'));
  const template = await readDeployFile('settings.template');
  const machines = places.map(async (place) => {
    const { zone, name, ip } = place;
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'review-'));
    const settings = {
      node_name: name,
      zone,
      zones,
      listen: {
        frontend: `${ip}:${frontend}`,
        readiness: `${ip}:${readiness}`,
        control_plane: `${ip}:${control}`,
      },
      internal_port_range: [exchange, exchange + 15],
      seeds,
      platform: { address: platform },
      bounds,
    };
    return new Machine(record, place, settings, ports, {
      folder,
      template,
      runLine: run.split(' '),
    });
  });
  return Promise.all(machines);
}

module.exports = { Record, makeMachines, sleep, ROOT };
