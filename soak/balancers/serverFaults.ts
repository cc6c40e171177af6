import { serverValue } from '../../standins/store/publishedValues';

import { type BalancerFault, type BalancerFaultContext } from './balancerFault';
import { type FleetServer } from './fleetServer';

const DRAIN_MS = 2000;
// Addresses of servers that have ended are used again after this time at the earliest.
const REUSE_AFTER_MS = 2000;
const MAX_ABSENT_MS = 2500;
const LEAVING_MS = 3000;
const RETRY_AFTER_S = [1, 1.5, 2, 3];

type ServerFault = (context: BalancerFaultContext, server: FleetServer) => Promise<void>;

function onServer(fault: ServerFault): BalancerFault {
  return async (context) => {
    const { fleet, random } = context;
    const server = fleet.claimServer(random);
    if (server === null) return;
    await fault(context, server);
    fleet.release(server);
  };
}

function portOf({ address }: FleetServer): number {
  return Number(address.split(':')[1]);
}

const crash: ServerFault = async (context, server) => {
  const { fleet, random, sleep } = context;
  const isRemoved = random.next() < 0.5;
  context.note(`${server.id}${isRemoved ? ', removed from the store' : ''}`);
  server.standin.crash();
  await sleep(random.integer(MAX_ABSENT_MS));
  if (isRemoved) fleet.platform.store.remove(`servers/${server.id}`);
  await sleep(random.integer(MAX_ABSENT_MS));
  await server.standin.listen();
  fleet.register(server, { born: Date.now() });
};

// Some servers announce that they leave, others only disappear from the store.
const replaced: ServerFault = async (context, server) => {
  const { fleet, random, sleep } = context;
  const isAnnounced = random.next() < 0.5;
  const isReused = random.next() < 0.5;
  context.note(`${server.id}${isAnnounced ? ', announced' : ''}${isReused ? ', reused' : ''}`);
  await fleet.addServer(server.service);
  if (isAnnounced) {
    fleet.register(server, { state: 'draining' });
    await sleep(random.integer(DRAIN_MS));
  }
  fleet.unregister(server);
  await sleep(DRAIN_MS + random.integer(1000));
  server.standin.crash();
  await sleep(REUSE_AFTER_MS);
  if (isReused) await fleet.addServer(fleet.pickService(random), portOf(server));
};

const leaving: ServerFault = async (context, server) => {
  const { fleet, random, sleep } = context;
  context.note(server.id);
  await fleet.addServer(server.service);
  server.standin.extraHeaders = ['Server-Leaving: 1'];
  if (random.next() < 0.5) server.standin.healthStatus = 503;
  await sleep(LEAVING_MS + random.integer(LEAVING_MS));
  fleet.unregister(server);
  await sleep(DRAIN_MS);
};

const asksForQuiet: ServerFault = async (context, server) => {
  const { random, sleep } = context;
  const { id, standin } = server;
  const seconds = RETRY_AFTER_S[random.integer(RETRY_AFTER_S.length)]!;
  context.note(`${id} for ${seconds} s`);
  standin.extraHeaders = [...standin.extraHeaders, `Retry-After: ${seconds}`];
  standin.mode = 'full';
  await sleep(200 + random.integer(1500));
  standin.mode = 'well';
  standin.extraHeaders = standin.extraHeaders.filter((line) => !line.startsWith('Retry-After'));
};

const ODD_ENTRIES: readonly (() => string)[] = [
  () => '',
  () => '\u0000\ufffd',
  () => '[]',
  () => '['.repeat(100_000),
  () => JSON.stringify(serverValue('read-quick', { id: 'i-odd' }, '127.0.0.1:99999')),
  () => JSON.stringify(serverValue('read-quick', { id: 'i-odd' }, '999.1.1.1:80')),
  () =>
    JSON.stringify(
      serverValue('read-quick', { id: 'i-odd', slots: 2 ** 53 - 1 }, '127.0.0.1:9', {
        born: 1e308,
        coldLeftMs: 1e308,
      }),
    ),
  () => JSON.stringify(serverValue('s'.repeat(100_000), { id: 'i-odd' }, '127.0.0.1:9')),
];

const oddEntry: BalancerFault = async (context) => {
  const { fleet, random, sleep } = context;
  const choice = random.integer(ODD_ENTRIES.length);
  const key = `servers/i-odd-${random.integer(3)}`;
  context.note(`${key}, entry ${choice}`);
  fleet.platform.store.putBytes(key, Buffer.from(ODD_ENTRIES[choice]!(), 'utf8'));
  await sleep(random.integer(MAX_ABSENT_MS));
  fleet.platform.store.remove(key);
};

/** Faults and changes of servers, by name. */
export const SERVER_FAULTS: Readonly<Record<string, BalancerFault>> = {
  'server crashes': onServer(crash),
  'server replaced': onServer(replaced),
  'server leaves': onServer(leaving),
  'server asks for quiet': onServer(asksForQuiet),
  'odd entry': oddEntry,
};
