/* eslint-disable */
/* eslint n/no-sync: "off" */
'use strict';

// Servers that leave without reporting `draining`, shortly after the store has cut the watches that wait.

const fs = require('node:fs');
const http = require('node:http');
const path = require('node:path');

const { Store } = require('../lib-2/store');
const { Server } = require('../lib-2/server');
const { Deployment, BOUNDS, configuration, sleep } = require('../lib-2/deployment');

const ZONES = ['hobart-depot', 'glenorchy-depot', 'kingston-depot'];
const PER_ZONE = Number(process.env.PER_ZONE ?? 4);
const ROUNDS = Number(process.env.ROUNDS ?? 5);
const GAP_MS = Number(process.env.GAP_MS ?? 800);
const HAS_TROUBLE = process.env.TROUBLE !== '0';
// "drain_ms after the store has accepted that report and a little longer".
const LITTLE_LONGER_MS = 400;
const CALLS_PER_S = 150;
const HOST = 'hulo84.example';
const record = [];
const note = (text) => record.push(`${(performance.now() / 1000).toFixed(3)} ${text}`);

let sent = 0;
const calls = [];

function call(machine) {
  sent += 1;
  const id = `c${String(sent).padStart(6, '0')}`;
  const entry = { id, machine: machine.name, at: performance.now(), status: null, endAt: null };
  calls.push(entry);
  const end = (status) => {
    entry.status ??= status;
    entry.endAt ??= performance.now();
  };
  const request = http.request(
    {
      ...{ host: machine.ip, port: machine.port, method: 'POST', path: '/closeout/pit' },
      ...{ agent: machine.agent },
      headers: { host: HOST, 'request-id': id, 'deadline-ms': '2500', 'content-length': 3 },
    },
    (response) => {
      response.resume();
      response.on('end', () => end(response.statusCode));
      response.on('error', () => end('broken'));
    },
  );
  request.on('error', () => end('broken'));
  request.end('pit');
}

async function main() {
  const store = new Store();
  const source = await store.listen('127.77.9.1', 0);
  const servers = [];
  const present = [];
  const add = async (zone) => {
    const id = `i-${String(servers.length + 1).padStart(4, '0')}`;
    const server = new Server({ id, service: 'closeout-log', zone, workMs: 120 });
    await server.listen('127.77.8.1');
    servers.push(server);
    present.push(server);
    store.put(`servers/${id}`, server.entry());
  };
  for (const zone of ZONES) for (let at = 0; at < 3; at += 1) await add(zone);
  const route = { name: 'closeout', host: HOST, prefix: '/closeout/', service: 'closeout-log' };
  store.put(
    'op/config',
    configuration(7, [{ ...route, type: 'non_idempotent', timeoutMs: 1200, aimMs: 300 }]),
  );
  const deployment = new Deployment({ zones: ZONES, perZone: PER_ZONE, store: source });
  let traffic = null;
  try {
    await deployment.start();
    const { machines } = deployment;
    for (const machine of machines) machine.agent = new http.Agent({ keepAlive: true });
    let turn = 0;
    traffic = setInterval(() => {
      turn += 1;
      call(machines[turn % machines.length]);
    }, 1000 / CALLS_PER_S);
    await sleep(5000);
    for (let round = 1; round <= ROUNDS; round += 1) {
      if (HAS_TROUBLE) note(`round ${round}: the store cuts ${store.cutWatches()} waiting watches`);
      await sleep(GAP_MS);
      for (let at = 0; at < (PER_ZONE > 1 ? 2 : 1); at += 1) {
        if (at > 0) await sleep(100);
        const server = present.shift();
        server.goneAt = store.remove(`servers/${server.id}`);
        note(`round ${round}: the store has confirmed the removal of ${server.id}`);
        setTimeout(() => {
          note(`${server.id} exits`);
          server.exit();
        }, BOUNDS.drain_ms + LITTLE_LONGER_MS);
        await add(server.zone);
      }
      await sleep(7500);
    }
    clearInterval(traffic);
    await sleep(2600);
  } finally {
    clearInterval(traffic);
    await deployment.close();
    store.close();
    for (const server of servers) if (!server.hasEnded) server.exit();
  }

  const late = [];
  for (const server of servers) {
    if (server.goneAt === undefined) continue;
    for (const arrival of server.arrivals) {
      const afterMs = arrival.at - server.goneAt;
      if (afterMs > BOUNDS.drain_ms) late.push({ server, arrival, afterMs });
    }
  }
  const answers = new Map(calls.map((each) => [each.id, each]));
  for (const { server, arrival, afterMs } of late) {
    const { machine, status } = answers.get(arrival.id);
    note(
      `DRAIN: ${arrival.id} reaches ${server.id} from ${machine} ${afterMs.toFixed(0)} ms after its removal; ` +
        `its run: ${arrival.end}; its caller got ${status}`,
    );
  }
  const statuses = {};
  for (const { status } of calls) statuses[status] = (statuses[status] ?? 0) + 1;
  note(`calls ${calls.length}, answers ${JSON.stringify(statuses)}`);
  note(`runs ${servers.reduce((sum, { arrivals }) => sum + arrivals.length, 0)}`);
  note(`requests later than drain_ms at servers that are gone: ${late.length}`);
  const cut = late.filter(({ arrival }) => arrival.end === 'cut').length;
  note(`of these, cut off in their run by the exit of the server: ${cut}`);
  fs.writeFileSync(path.join(__dirname, 'record.txt'), `${record.join('\n')}\n`);
  console.log(record.slice(-6).join('\n'));
  const served = calls.filter(({ status }) => status === 200).length;
  if (calls.length === 0 || served < calls.length * 0.8) process.exit(2);
  process.exit(late.length > 0 ? 1 : 0);
}

main().catch((error) => {
  console.error(error);
  process.exit(2);
});
