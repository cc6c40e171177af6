/* eslint-disable -- plain Node.js without the conventions of the product */
// A machine is stopped as planned while consumers send requests behind each other.
'use strict';

const { StoreStandin } = require('../../dist/standins/store/storeStandin');
const { configurationValue } = require('../../dist/standins/store/publishedValues');
const { Pipeliner } = require('../lib/pipeliner');
const { Record, makeMachines, sleep } = require('../lib/machines');
const { Server } = require('../lib/server');

const WITH_TROUBLE = process.env.TROUBLE !== '0';
// Bounds of saryarka-gate.
const BOUNDS = {
  grace_s: 6,
  drain_ms: 2000,
  stability_ms: 3000,
  lost_ms: 200,
  retry_budget_ratio: 0.2,
  budget_slack: 56,
  budget_window_s: 10,
};
const ZONES = { 'almaty-a': 1, 'almaty-b': 1, 'almaty-c': 1 };
const CONSUMERS = 12;
// A consumer asks for a calendar page and a guide page at once, four times a second.
const PATHS = ['/calendar/page', '/guide/page'];
const EVERY_MS = 250;
const WORK_MS = { calendar: 120, fieldguide: 48 };
const DEADLINE_MS = 1500;

async function main() {
  const record = new Record(__dirname);
  const store = new StoreStandin();
  const address = await store.listen();
  const route = { isIdempotent: true, timeLimitMs: 1500, mostAttempts: 2 };
  store.put(
    'op/config',
    configurationValue(3, [
      { ...route, prefix: '/calendar/', service: 'calendar', objectiveMs: 300 },
      { ...route, prefix: '/guide/', service: 'fieldguide', objectiveMs: 150 },
    ]),
  );
  const servers = Object.keys(ZONES).flatMap((zone, index) =>
    Object.keys(WORK_MS).map(
      (service) =>
        new Server(record, {
          ...{ id: `i-${service}-${index + 1}`, service, slots: 6 },
          workMs: () => WORK_MS[service] * (0.8 + 0.4 * Math.random()),
        }),
    ),
  );
  for (const server of servers) {
    await server.listen();
    store.put(
      `servers/${server.id}`,
      server.entry(Object.keys(ZONES)[Number(server.id.at(-1)) - 1], Date.now()),
    );
  }
  const machines = await makeMachines(record, ZONES, address, BOUNDS);
  const stopped = machines[0];
  let exitCode = 2;
  try {
    await Promise.all(machines.map((machine) => machine.start(true)));
    await Promise.all(machines.map((machine) => machine.untilReady()));
    await sleep(3000);
    const options = { paths: PATHS, everyMs: EVERY_MS, deadlineMs: DEADLINE_MS };
    const consumers = [];
    for (let started = 0; started < CONSUMERS; started += 1) {
      consumers.push(new Pipeliner(record, stopped, options));
      await sleep(EVERY_MS / CONSUMERS);
    }
    await sleep(3500);
    const termAt = record.now();
    if (WITH_TROUBLE) {
      stopped.signal('SIGTERM');
      await Promise.race([stopped.exited, sleep(BOUNDS.grace_s * 1000)]);
      if (stopped.child.exitCode === null) stopped.signal('SIGKILL');
      await stopped.exited;
    } else await sleep(BOUNDS.grace_s * 1000);
    consumers.forEach((consumer) => consumer.stop());
    await Promise.all(consumers.map((consumer) => consumer.closed));
    const runs = new Map(servers.flatMap((server) => server.runs.map((run) => [run.id, run])));
    const results = consumers.flatMap((consumer) => consumer.results);
    // A request that was sent behind another and not passed on doesn't count.
    const cut = results.filter(({ id, status }) => status === 0 && runs.has(id));
    const counted = cut.filter(
      ({ sentAt, endedAt }) => sentAt > termAt + 3000 && endedAt - sentAt < DEADLINE_MS,
    );
    record.add(
      'case',
      `${results.length} requests; passed on to a server and never answered: ${cut.length}, ` +
        `of these sent later than 3 s after the SIGTERM: ${counted.length}`,
    );
    exitCode = counted.length > 0 ? 1 : 0;
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
