// The readers of all zones lose their path to the store; then a server is removed, and a configuration written.
const { randomBytes } = require('node:crypto');

const {
  configuration,
  Consumer,
  head,
  makeMachines,
  now,
  runCase,
  Server,
  sleep,
  Store,
} = require('../standins-3/harness');

// DEPLOY.md, settings: bounds.drain_ms=2000, bounds.stability_ms=3000.
const DRAIN_MS = 2000;
const STABILITY_MS = 3000;
const ZONES = ['a', 'b', 'c'].flatMap((zone) => [zone, zone, zone, zone]);
const SERVERS = 9;
const WORK_MS = 94;
const REQUEST_GAP_MS = 7;
const ROUNDS = 4;
// `node_cut` of the site files: share up to 0.35, for_s up to 12.
const CUT_MS = 5500;

function route(name, service) {
  return {
    name,
    hostname: 'shop.example',
    prefix: `/${name}/`,
    route_type: 'idempotent',
    timeout_ms: 1000,
    target_latency_ms: 250,
    priority: 2,
    service,
    max_attempts: 2,
  };
}

function version(number) {
  return configuration(number, [
    route('lookup', 'round-sheets'),
    route(`v${number}`, 'round-sheets'),
  ]);
}

/** Sends a request on a connection of its own; resolves to its status. */
async function ask(address, id) {
  const consumer = new Consumer(address);
  consumer.write(head('GET', '/lookup/2f', id, 2000));
  const startedAt = now();
  const status = () => /^HTTP\/1\.1 (\d{3}) /.exec(consumer.text())?.[1];
  while (status() === undefined && consumer.closedAt === null && now() < startedAt + 2500)
    await sleep(10);
  consumer.leave();
  return status() ?? 'none';
}

runCase(__dirname, async ({ journal, hasTrouble, own }) => {
  const store = new Store();
  await store.listen();
  own(() => store.close());
  const servers = [];
  for (let index = 0; index < SERVERS; index += 1) {
    const server = new Server(`i-${index}`, { add() {} }, { workMs: WORK_MS, slots: 6 });
    await server.listen();
    own(() => server.close());
    servers.push(server);
  }
  const publish = (server) => {
    const zone = ['a', 'b', 'c'][servers.indexOf(server) % 3];
    store.put(`servers/${server.id}`, server.entry('round-sheets', 'ready', zone));
  };
  for (const server of servers) publish(server);
  let number = 7;
  store.put('op/config', version(number));
  const paths = [];
  for (const index of ZONES.keys()) paths.push(await store.openPath(`edge-${index + 1}`));
  const machines = await makeMachines(journal, store, ZONES, paths);
  for (const machine of machines) own(() => machine.close());
  await Promise.all(machines.map((machine) => machine.start()));
  for (const machine of machines) await machine.untilReady();
  await sleep(4000);

  let isAsking = true;
  const asked = [];
  const sentBy = new Map();
  const asking = (async () => {
    for (let count = 0; isAsking; count += 1) {
      const index = count % machines.length;
      const id = randomBytes(8).toString('hex');
      sentBy.set(id, paths[index]);
      asked.push(ask(machines[index].values['listen.frontend'], id));
      await sleep(REQUEST_GAP_MS);
    }
  })();
  await sleep(1000);

  let late = 0;
  for (let round = 0; round < ROUNDS; round += 1) {
    // The readers begin a new watch 0.35 s after a change.
    number += 1;
    store.put('op/config', version(number));
    await sleep(500);
    const readers = paths.filter((path) => path.isReader());
    journal.add(`round ${round}: ${readers.map(({ name }) => name).join(', ')} read the store`);
    if (hasTrouble) {
      for (const path of readers) path.isCut = true;
      journal.add('they lose their path to the store');
    }
    await sleep(100);
    const removed = servers[round];
    store.remove(`servers/${removed.id}`);
    const removedAt = now();
    await sleep(50);
    number += 1;
    store.put('op/config', version(number));
    journal.add(
      `${removed.id} is removed, and version ${number} written ${Math.round(now() - removedAt)} ms later`,
    );
    await sleep(CUT_MS);
    for (const path of paths) path.isCut = false;
    const tooLate = removed.arrivals.filter(
      ({ id, at }) => at > removedAt + DRAIN_MS && !readers.includes(sentBy.get(id)),
    );
    journal.add(
      `${tooLate.length} requests of machines that were not cut reached ${removed.id} later than ${DRAIN_MS} ms` +
        ` after its removal, the last after ${Math.round((tooLate.at(-1)?.at ?? removedAt) - removedAt)} ms`,
    );
    late += tooLate.length;
    publish(removed);
    await sleep(STABILITY_MS + 1000);
  }
  isAsking = false;
  await asking;
  const counts = new Map();
  for (const status of await Promise.all(asked)) counts.set(status, (counts.get(status) ?? 0) + 1);
  journal.add(
    `answers: ${[...counts].map(([status, count]) => `${status} x ${count}`).join(', ')}`,
  );
  return late > 0;
});
