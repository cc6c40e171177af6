/* eslint-disable */
/* eslint n/no-sync: "off" */
'use strict';

// The machines that read the store for their zones lose their path to it; then the configuration changes.

const fs = require('node:fs');
const http = require('node:http');
const path = require('node:path');

const { Store } = require('../lib-2/store');
const { StorePath } = require('../lib-2/storePath');
const { Server } = require('../lib-2/server');
const { Deployment, BOUNDS, configuration, sleep } = require('../lib-2/deployment');

const ZONES = ['hobart-depot', 'glenorchy-depot', 'kingston-depot'];
const PER_ZONE = 4;
const ROUNDS = Number(process.env.ROUNDS ?? 4);
const HAS_TROUBLE = process.env.TROUBLE !== '0';
// node_cut: at most 0.35 of the machines, 12 s.
const CUT_MS = 5500;
const CALLS_PER_S = 150;
const HOST = 'hulo84.example';
const record = [];
const note = (text) => record.push(`${(performance.now() / 1000).toFixed(3)} ${text}`);

let sent = 0;
const calls = [];

function call(machine) {
  sent += 1;
  const id = `c${String(sent).padStart(6, '0')}`;
  const entry = { id, machine, at: performance.now(), status: null };
  calls.push(entry);
  const request = http.request(
    {
      ...{ host: machine.ip, port: machine.port, method: 'POST', path: '/docket/x' },
      ...{ agent: machine.agent },
      headers: { host: HOST, 'request-id': id, 'deadline-ms': '1200', 'content-length': 3 },
    },
    (response) => {
      response.resume();
      response.on('end', () => {
        entry.status ??= response.statusCode;
      });
      response.on('error', () => {
        entry.status ??= 'broken';
      });
    },
  );
  request.on('error', () => {
    entry.status ??= 'broken';
  });
  request.end('pit');
}

async function main() {
  const store = new Store();
  const source = await store.listen('127.77.9.1', 0);
  const servers = [];
  for (const service of ['docket-desk', 'round-sheets'])
    for (const zone of ZONES)
      for (let at = 0; at < 2; at += 1) {
        const id = `i-${String(servers.length + 1).padStart(4, '0')}`;
        const server = new Server({ id, service, zone, workMs: 66 });
        await server.listen('127.77.8.1');
        servers.push(server);
        store.put(`servers/${id}`, server.entry());
      }
  const versions = [];
  const configure = (service, aimMs) => {
    const version = 7 + 3 * versions.length;
    const route = { name: 'docket', host: HOST, prefix: '/docket/', type: 'non_idempotent' };
    const at = store.put(
      'op/config',
      configuration(version, [{ ...route, service, timeoutMs: 1200, aimMs }]),
    );
    versions.push({ version, service, at });
    note(`the store has confirmed version ${version}: /docket/ goes to ${service}`);
  };
  configure('docket-desk', 200);
  const paths = new Map();
  for (let at = 0; at < ZONES.length * PER_ZONE; at += 1) {
    const storePath = new StorePath(source);
    await storePath.listen('127.77.9.2');
    paths.set(at, storePath);
  }
  let next = 0;
  const deployment = new Deployment({
    ...{ zones: ZONES, perZone: PER_ZONE, store: source },
    storeOf: (machine) => {
      machine.path = paths.get(next);
      next += 1;
      return machine.path.address;
    },
  });
  let traffic = null;
  const cuts = [];
  try {
    await deployment.start();
    const { machines } = deployment;
    for (const machine of machines) machine.agent = new http.Agent({ keepAlive: true });
    let turn = 0;
    traffic = setInterval(() => {
      turn += 1;
      call(machines[turn % machines.length]);
    }, 1000 / CALLS_PER_S);
    await sleep(4000);
    for (let round = 1; round <= ROUNDS; round += 1) {
      const [from, to] =
        round % 2 === 1 ? ['docket-desk', 'round-sheets'] : ['round-sheets', 'docket-desk'];
      // Successive versions change time-outs and move routes.
      configure(from, 210);
      await sleep(500);
      const at = performance.now();
      const cut = machines.filter((machine) => machine.path.isWaiting());
      if (HAS_TROUBLE)
        for (const machine of cut) {
          machine.path.cut();
          cuts.push({ machine, from: at, to: at + CUT_MS });
          note(`round ${round}: ${machine.name} is cut off from the store`);
        }
      await sleep(100);
      configure(to, 200);
      await sleep(CUT_MS - 100);
      for (const machine of cut) machine.path.heal();
      await sleep(BOUNDS.stability_ms + 3500);
    }
    clearInterval(traffic);
    await sleep(1500);
  } finally {
    clearInterval(traffic);
    await deployment.close();
    for (const each of paths.values()) each.close();
    store.close();
    for (const server of servers) server.exit();
  }

  const isInTouch = (machine, at) =>
    cuts.every(
      (cut) => cut.machine !== machine || at < cut.from || at > cut.to + BOUNDS.stability_ms,
    );
  const ranAt = new Map();
  for (const server of servers)
    for (const arrival of server.arrivals) ranAt.set(arrival.id, { server, arrival });
  let late = 0;
  const lateMachines = new Set();
  for (const { id, machine, at, status } of calls) {
    const run = ranAt.get(id);
    if (run === undefined) continue;
    // The newest version that was confirmed config_apply_ms before the request was sent, and all later ones that were sent before it ran, allow it.
    const due = versions.filter((version) => version.at + BOUNDS.config_apply_ms < at).at(-1);
    if (due === undefined) continue;
    const known = versions.filter((version) => version.at <= run.arrival.at);
    const allowed = known.slice(versions.indexOf(due)).map(({ service }) => service);
    if (allowed.includes(run.server.service)) continue;
    if (!isInTouch(machine, at) || !isInTouch(machine, run.arrival.at)) continue;
    late += 1;
    lateMachines.add(machine.name);
    note(
      `CONFIG: ${id} was sent to ${machine.name} ${(at - due.at).toFixed(0)} ms after version ${due.version} was ` +
        `confirmed, and is run by ${run.server.service}; its caller got ${status}`,
    );
  }
  const statuses = {};
  for (const { status } of calls) statuses[status] = (statuses[status] ?? 0) + 1;
  note(`calls ${calls.length}, answers ${JSON.stringify(statuses)}`);
  note(`requests run by the old service later than config_apply_ms: ${late}`);
  note(`by machines in touch: ${lateMachines.size}`);
  fs.writeFileSync(path.join(__dirname, 'record.txt'), `${record.join('\n')}\n`);
  console.log(record.slice(-4).join('\n'));
  const served = calls.filter(({ status }) => status === 200).length;
  if (calls.length === 0 || served < calls.length * 0.8) process.exit(2);
  process.exit(late > 0 ? 1 : 0);
}

main().catch((error) => {
  console.error(error);
  process.exit(2);
});
