import { Store } from '../../platform/store';
import { Ledger } from '../../src/catalog';
import { SeededRandom, SystemClock } from '../../src/runtime';
import { CatalogReader, shouldRead } from '../../src/source';
import { StoreStandin } from '../../standins/store/storeStandin';

function serverEntry(service: string): unknown {
  return {
    address: '10.0.0.1:80',
    info: { service, zone: 'a', concurrency: 3 },
    status: { state: 'ready', sequence: 1, warmup_left_ms: 0 },
  };
}

describe('reading the store', () => {
  const clock = new SystemClock();

  let store: StoreStandin;

  let ledger: Ledger;

  let reader: CatalogReader;

  let mustRead = true;

  beforeEach(async () => {
    mustRead = true;
    store = new StoreStandin();
    ledger = new Ledger();
    const address = await store.listen();
    reader = new CatalogReader({
      ...{ clock, ledger, random: new SeededRandom(1), source: new Store(address, clock) },
      events: { emit: () => {} },
      mustRead: () => mustRead,
      onChanges: () => {},
      onState: () => {},
    });
  });

  afterEach(() => {
    reader.close();
    store.close();
  });

  async function until(condition: () => boolean): Promise<void> {
    for (let turn = 0; turn < 600; turn += 1) {
      if (condition()) return;
      await new Promise((resolve) => {
        setTimeout(resolve, 10);
      });
    }
    throw new Error('the awaited condition did not come about');
  }

  const size = () => ledger.catalog().targets.size;

  // Guards against items of later pages that are missed.
  it('reads all pages', async () => {
    store.pageSize = 7;
    for (let index = 0; index < 30; index += 1) store.put(`servers/i-${index}`, serverEntry('s'));
    void reader.run();
    await until(() => size() === 30);
  });

  // Guards against a reader that stays with what it knew after a disturbance of any kind.
  it.each(['busy', 'tooMany', 'silent', 'reset', 'loses'] as const)(
    'goes on after the store was %s',
    async (mode) => {
      store.put('servers/i-1', serverEntry('s'));
      void reader.run();
      await until(() => size() === 1);
      store.behave(mode);
      store.forget();
      store.put('servers/i-2', serverEntry('s'));
      await until(() => reader.state() === 'failing');
      expect(size()).toBe(1);
      store.behave('well');
      await until(() => size() === 2);
      expect(reader.state()).toBe('reading');
    },
  );

  // Guards against changes that are lost with the history of the store.
  it('reads everything again when the history is gone', async () => {
    store.put('servers/i-1', serverEntry('s'));
    void reader.run();
    await until(() => size() === 1);
    store.put('servers/i-2', serverEntry('s'));
    store.remove('servers/i-1');
    store.forget();
    await until(() => [...ledger.catalog().targets.keys()].join() === 'i-2');
  });

  // Guards against a host that turns away all calls for seconds: entries expired while the store was
  // away, although their servers live, and come back a moment after its return.
  it('keeps targets that expired while the store was away, unless they stay missing', async () => {
    for (let index = 0; index < 4; index += 1) store.put(`servers/i-${index}`, serverEntry('s'));
    void reader.run();
    await until(() => size() === 4);
    store.behave('silent');
    store.forget();
    await until(() => reader.state() === 'failing');
    for (let index = 0; index < 4; index += 1) store.remove(`servers/i-${index}`);
    store.behave('well');
    await until(() => reader.state() === 'reading');
    for (let turn = 0; turn < 10; turn += 1) {
      expect(size()).toBe(4);
      await new Promise((resolve) => {
        setTimeout(resolve, 100);
      });
    }
    for (let index = 0; index < 3; index += 1) store.put(`servers/i-${index}`, serverEntry('s'));
    await until(() => size() === 3);
    expect([...ledger.catalog().targets.keys()].sort()).toEqual(['i-0', 'i-1', 'i-2']);
  });

  // Guards against a target that is kept although it was deleted while the store was well.
  it('drops a deleted target at once while the store is well', async () => {
    store.put('servers/i-1', serverEntry('s'));
    void reader.run();
    await until(() => size() === 1);
    const deletedAt = clock.now();
    store.remove('servers/i-1');
    await until(() => size() === 0);
    expect(clock.now() - deletedAt).toBeLessThan(1000);
  });

  // Guards against calls of hosts that others read for.
  it('makes no call while another host reads', async () => {
    mustRead = false;
    void reader.run();
    await new Promise((resolve) => {
      setTimeout(resolve, 300);
    });
    expect(store.callCount()).toBe(0);
  });

  // Guards against many calls that each bring one change.
  it('reads changes that follow each other closely with few calls', async () => {
    void reader.run();
    await until(() => store.callCount() > 0);
    for (let index = 0; index < 20; index += 1) {
      store.put(`servers/i-${index}`, serverEntry('s'));
      await new Promise((resolve) => {
        setTimeout(resolve, 20);
      });
    }
    await until(() => size() === 20);
    expect(store.callCount()).toBeLessThan(8);
  });
});

describe('who reads', () => {
  const idle = (hostId: string) => ({ hostId, state: 'idle' as const });

  // Guards against a zone without a reader, and against a zone in which all hosts read.
  it('is one host of a zone', () => {
    const hosts = ['a', 'b', 'c', 'd', 'e'];
    const readers = hosts.filter((host) =>
      shouldRead(host, hosts.filter((other) => other !== host).map(idle)),
    );
    expect(readers).toHaveLength(1);
  });

  // Guards against a zone that learns nothing because the store turns its reader away.
  it('is joined by the next host when the store turns the reader away', () => {
    const hosts = ['a', 'b', 'c', 'd', 'e'];
    const [first] = hosts.filter((host) =>
      shouldRead(host, hosts.filter((other) => other !== host).map(idle)),
    );
    const reports = (host: string) =>
      hosts
        .filter((other) => other !== host)
        .map((other) => ({
          hostId: other,
          state: other === first ? ('failing' as const) : ('idle' as const),
        }));
    const readers = hosts.filter((host) => shouldRead(host, reports(host)));
    expect(readers).toContain(first);
    expect(readers).toHaveLength(2);
  });
});
