import { Store } from '../../platform/store';
import { StoreEra } from '../../platform/storeEra';
import { type CatalogChanges, Ledger } from '../../src/catalog';
import { SystemClock } from '../../src/runtime';
import { BalancerProcess } from '../support/balancerProcess';
import { ScriptedServer } from '../support/scriptedServer';
import { TestPlatform } from '../support/testPlatform';

const ROUTES = [{ prefix: '/read/', service: 'reads', isIdempotent: true, timeLimitMs: 1500 }];
const NEIGHBOUR_IP = '127.0.0.2';

describe('a host that restarts', () => {
  // Guards against using a server that has left, or a route that was withdrawn, again: the store serves
  // older reads, and a neighbour that was cut off from it has an older catalog too, while another
  // neighbour knows better.
  it('does not keep what its neighbours know to be gone', async () => {
    const platform = new TestPlatform();
    const left = new ScriptedServer('i-left');
    const stays = new ScriptedServer('i-stays');
    const neighbour = new BalancerProcess(platform);
    const restarted = new BalancerProcess(platform);
    platform.configure([...ROUTES, { prefix: '/old/', service: 'reads', isIdempotent: true }]);
    platform.register('reads', { id: 'i-left' }, await left.listen());
    platform.register('reads', { id: 'i-stays' }, await stays.listen());
    const source = await platform.store.listen();
    try {
      await neighbour.prepare(NEIGHBOUR_IP, source);
      neighbour.settings['host-id'] = 'host-2';
      neighbour.writeSettings();
      void neighbour.launch();
      const { readinessPort } = platform;
      await platform.until(() => neighbour.output.includes('"event":2301'));
      platform.store.serveOldReads(true);
      platform.store.remove('servers/i-left');
      platform.configure(ROUTES);
      await platform.until(() => /"event":2308.*"version":7/.test(neighbour.output));
      platform.readinessPort = readinessPort;
      await restarted.prepare('127.0.0.1', source);
      restarted.settings['exchange-port'] = neighbour.settings['exchange-port']!;
      const controlPort = neighbour.settings['control-address']!.split(':')[1]!;
      restarted.settings['control-address'] = `127.0.0.1:${controlPort}`;
      restarted.settings.seeds = `${NEIGHBOUR_IP}:${controlPort}`;
      restarted.settings['first-start'] = 'false';
      restarted.writeSettings();
      void restarted.launch();
      await restarted.untilReady();
      await platform.until(() => /"event":2308.*"version":7/.test(restarted.output));
      await platform.sleep(300);
      const before = left.received.length;
      for (let count = 0; count < 20; count += 1) {
        const reply = await platform.call('GET', '/read/x');
        expect([reply.status, left.received.length - before]).toEqual([200, 0]);
      }
      expect((await platform.call('GET', '/old/x')).status).toBe(404);
    } finally {
      neighbour.close();
      restarted.close();
      left.close();
      stays.close();
      await platform.stop();
    }
  }, 30_000);

  // Guards against a host that reverts because it reads the whole of an older state of the store.
  it('does not revert when the whole catalog is read in an older state', async () => {
    const platform = new TestPlatform();
    platform.configure(ROUTES);
    platform.register('reads', { id: 'i-1' }, '127.0.0.1:1');
    const clock = new SystemClock();
    const store = new Store(await platform.store.listen(), clock, new StoreEra({ emit: () => {} }));
    const readAll = async (): Promise<CatalogChanges> =>
      (await store.readAll(clock.now() + 1000)).unwrap();
    const ledger = new Ledger();
    platform.store.serveOldReads(true);
    const old = await readAll();
    platform.store.serveOldReads(false);
    platform.store.remove('servers/i-1');
    platform.configure([]);
    ledger.apply(await readAll());
    ledger.apply(old);
    expect([ledger.catalog().targets.size, ledger.catalog().configuration!.version]).toEqual([
      0, 7,
    ]);
    store.close();
    await platform.stop();
  });
});
