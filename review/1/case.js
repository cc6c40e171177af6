/* eslint-disable -- plain Node.js without the conventions of the product */
// Half of the processes are killed at once and start again; meanwhile a server leaves.
'use strict';

const { StoreStandin } = require('../../dist/standins/store/storeStandin');
const { configurationValue } = require('../../dist/standins/store/publishedValues');
const { call } = require('../lib/consumer');
const { Record, makeMachines, sleep } = require('../lib/machines');
const { Server } = require('../lib/server');

const WITH_TROUBLE = process.env.TROUBLE !== '0';
// Bounds of saryarka-gate.
const BOUNDS = {
  grace_s: 6,
  drain_ms: 2000,
  stability_ms: 3000,
  retry_budget_ratio: 0.2,
  budget_slack: 56,
  budget_window_s: 10,
};
const ZONES = { 'almaty-a': 2, 'almaty-b': 2, 'almaty-c': 2 };
const RESTART_MS = 500;
// The server serves on for `drain_ms` and this long.
const SERVES_ON_MS = 9000;

async function main() {
  const record = new Record(__dirname);
  const store = new StoreStandin();
  const address = await store.listen();
  const route = { prefix: '/book/', service: 'booking', isIdempotent: false };
  store.put(
    'op/config',
    configurationValue(3, [{ ...route, timeLimitMs: 2000, objectiveMs: 400, mostAttempts: 2 }]),
  );
  const servers = ['almaty-a', 'almaty-b', 'almaty-c', 'almaty-a'].map(
    (zone, index) =>
      new Server(record, {
        id: `i-${index + 1}-${zone}`,
        service: 'booking',
        slots: 3,
        workMs: () => 160 * (0.7 + 0.6 * Math.random()),
      }),
  );
  for (const server of servers) {
    await server.listen();
    store.put(`servers/${server.id}`, server.entry(server.id.slice(4), Date.now()));
  }
  const leaving = servers[3];
  const machines = await makeMachines(record, ZONES, address, BOUNDS);
  let exitCode = 2;
  try {
    await Promise.all(machines.map((machine) => machine.start(true)));
    await Promise.all(machines.map((machine) => machine.untilReady()));
    await sleep(3000);
    // Of each zone one machine reads the store; these are killed.
    const states = await Promise.all(machines.map((machine) => machine.status()));
    const killed = machines.filter((_, index) => states[index].source.state === 'reading');
    const calm = machines.filter((machine) => !killed.includes(machine));
    record.add('case', `readers: ${killed.map(({ name }) => name).join(', ')}`);
    let isOpen = true;
    const pending = [];
    const traffic = (async () => {
      for (let turn = 0; isOpen; turn += 1) {
        const up = machines.filter(
          (machine) => machine.child.exitCode === null && machine.child.signalCode === null,
        );
        const machine = up[turn % up.length];
        pending.push(
          call(record, machine, {
            method: 'POST',
            path: '/book/x',
            body: 'seat',
            deadlineMs: 2000,
          }),
        );
        await sleep(-Math.log(1 - Math.random()) * 33);
      }
    })();
    await sleep(3500);
    if (WITH_TROUBLE) killed.forEach((machine) => machine.signal('SIGKILL'));
    await sleep(50);
    store.remove(`servers/${leaving.id}`);
    leaving.isLeaving = true;
    const goneAt = record.add('store', `servers/${leaving.id} removed`);
    await sleep(RESTART_MS - 50);
    if (WITH_TROUBLE) await Promise.all(killed.map((machine) => machine.start(false)));
    await sleep(BOUNDS.drain_ms + SERVES_ON_MS);
    leaving.end('ends');
    isOpen = false;
    await traffic;
    const results = new Map((await Promise.all(pending)).map((result) => [result.id, result]));
    const late = leaving.runs.filter(({ at }) => at > goneAt + BOUNDS.drain_ms);
    const fromCalm = late.filter(({ id }) =>
      calm.some(({ name }) => name === results.get(id)?.machine),
    );
    const broken = fromCalm.filter(({ id }) => results.get(id).status !== 200);
    record.add(
      'case',
      `run by ${leaving.id} later than ${BOUNDS.drain_ms} ms after it had gone: ${late.length}, ` +
        `of these from machines that were not disturbed: ${fromCalm.length}, ` +
        `of these not answered with success: ${broken.length}`,
    );
    exitCode = fromCalm.length > 0 ? 1 : 0;
    for (const machine of machines) {
      const targets = (await machine.status()).targets ?? [];
      record.add(
        machine.name,
        `knows ${JSON.stringify(targets.map?.((t) => t.id ?? t) ?? targets)}`,
      );
    }
  } finally {
    await Promise.all(machines.map((machine) => machine.close()));
    servers.forEach((server) => server.server.listening && server.end('end of the case'));
    store.close();
    await record.save();
  }
  return exitCode;
}

main().then(
  (code) => process.exit(code),
  (error) => {
    console.error(error);
    process.exit(2);
  },
);
