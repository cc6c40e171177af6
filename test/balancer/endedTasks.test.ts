import { Err, Ok } from 'ts-results';

import { platformCallProtocol } from '../../platform/callProtocol';
import { Store } from '../../platform/store';
import { StoreEra } from '../../platform/storeEra';
import { BALANCER_METRICS } from '../../src/balancer';
import { Addresses } from '../../src/balancer/addresses';
import { Ledger } from '../../src/catalog';
import { CatalogPuller } from '../../src/exchange/catalogPuller';
import { Membership } from '../../src/exchange/membership';
import { Supervisor } from '../../src/lifecycle';
import { type EventDefinition, type EventFields } from '../../src/logging';
import { PrometheusSink } from '../../src/metrics';
import { type Clock, SeededRandom, SystemClock } from '../../src/runtime';
import { TestPlatform } from '../support/testPlatform';

type Method = (...values: unknown[]) => unknown;

/** Makes a method throw once after `isArmed` was set, for a first argument that `matches`. */
function injectFault(object: object, name: string, matches = (_value: unknown) => true) {
  const fault = { isArmed: false };
  const methods = object as Record<string, Method>;
  const original = methods[name]!.bind(object);
  methods[name] = (...values) => {
    if (!fault.isArmed || !matches(values[0])) return original(...values);
    fault.isArmed = false;
    throw new Error('injected');
  };
  return fault;
}

// Guards against a host that lives on but follows nothing any more, since an unexpected error has ended
// one of its tasks.
describe('after one unexpected error', () => {
  const platform = new TestPlatform();

  const queueing = new TestPlatform();

  afterAll(() => Promise.all([platform.stop(), queueing.stop()]));

  it('the catalog and the health of targets are followed', async () => {
    const metrics = new PrometheusSink();
    const probeFault = injectFault(
      metrics,
      'increment',
      (name) => name === BALANCER_METRICS.probes,
    );
    const watchFaults: { isArmed: boolean }[] = [];
    const openSource = (address: string, clock: Clock) => {
      const source = new Store(address, clock, new StoreEra({ emit: () => {} }));
      watchFaults.push(injectFault(source, 'watch'));
      return source;
    };
    platform.configure([{ prefix: '/read/', service: 'reads', isIdempotent: true }]);
    const server = await platform.addServer('reads', { id: 'i-1' });
    const adapter = { protocol: platformCallProtocol, openSource };
    await platform.start({ parts: { adapter, metrics } });
    // The source that is opened last is the reader's; the other one is for confirmations.
    for (const fault of [probeFault, watchFaults.at(-1)!]) {
      fault.isArmed = true;
      await platform.until(() => !fault.isArmed);
    }
    const { probeCount } = server;
    await platform.until(() => server.probeCount > probeCount);
    await platform.addServer('reads', { id: 'i-2' });
    const hasBoth = ({ fields }: { fields: object }) => 'targets' in fields && fields.targets === 2;
    await platform.until(() => platform.events.some(hasBoth));
    expect(platform.events.filter(({ number }) => number === 2321)).toHaveLength(2);
  });

  // Guards against a queue or a target that counts calls which are not there any more.
  it('a call leaves its queue and its target', async () => {
    const waiting: unknown[] = [];
    const loads: unknown[] = [];
    const metrics = new PrometheusSink();
    const isConnection = (name: unknown) => name === BALANCER_METRICS.connections;
    const fault = injectFault(metrics, 'increment', isConnection);
    let hasThrown = false;
    const emit = ({ number }: EventDefinition, fields: EventFields = {}) => {
      if (number !== 2200) return;
      loads.push(fields.load);
      waiting.push(fields.waiting);
      if (hasThrown || fields.waiting !== 1) return;
      hasThrown = true;
      throw new Error('injected');
    };
    const route = { prefix: '/book/', service: 'bookings', isIdempotent: false };
    // Times that a busy machine does not use up.
    queueing.configure([{ ...route, timeLimitMs: 8000, objectiveMs: 4000 }]);
    const book = (id: number) => queueing.call('POST', `/book/${id}`, { timeLeft: 8000 });
    await queueing.addServer('bookings', { id: 'i-1', workMs: 60, slots: 1 });
    await queueing.start({ parts: { events: { emit }, metrics } });
    fault.isArmed = true;
    expect((await book(0)).status).toBe(502);
    const replies = [book(1), book(2)];
    expect((await Promise.all(replies)).map(({ status }) => status).sort()).toEqual([200, 502]);
    await book(3);
    expect([loads.at(-1), waiting.at(-1)]).toEqual([0, 0]);
  });

  // Guards against a stop that ends with code 1 and cuts off the calls that it was to complete.
  it('a stop is announced again', async () => {
    const stopping = new TestPlatform();
    await stopping.start({ waitReady: false });
    const { knowledge } = stopping.balancer as unknown as { knowledge: { exchange: object } };
    const fault = injectFault(knowledge.exchange, 'announce');
    fault.isArmed = true;
    stopping.balancer!.beginStop(Infinity);
    await stopping.until(() => stopping.events.some(({ number }) => number === 2321));
    await stopping.stop();
    expect(fault.isArmed).toBe(false);
  });

  it('missing changes are pulled and addresses are opened', async () => {
    const clock = new SystemClock();
    const tasks = new Supervisor(clock, () => {});
    const events = { emit: () => {} };
    const random = new SeededRandom(1);
    const membership = new Membership(clock, { id: 'host-1', zone: 'a', ip: '127.0.0.1' });
    const state = { incarnation: 1, newest: 5, fingerprint: 0, isLeaving: false, zoneSize: 2 };
    const host = ['host-2', 'a', '127.0.0.2'] as const;
    membership.applyHeartbeat(
      { kind: 'heartbeat', host, asOf: 5, source: 'reading', ...state },
      '127.0.0.2',
    );
    const ledger = new Ledger();
    const pull = (_holder: unknown, after: number) =>
      Promise.resolve({ after, asOf: 5, records: [] });
    const puller = new CatalogPuller({
      ...{ clock, random, tasks, events, ledger, membership, pull, zone: 'a', onPulled() {} },
    });
    puller.check();
    injectFault(random, 'integer').isArmed = true;
    let attempts = 0;
    const addresses = new Addresses({ clock, events, tasks, onOpened() {} });
    await addresses.open('caller-address', () => {
      attempts += 1;
      if (attempts === 2) throw new Error('injected');
      return Promise.resolve(attempts === 1 ? Err('in use') : Ok(undefined));
    });
    await platform.until(() => addresses.waitingFor().length === 0);
    await platform.until(() => ledger.catalog().asOf === 5);
    puller.close();
  });
});
