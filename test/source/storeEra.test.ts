import { Store } from '../../platform/store';
import { StoreEra } from '../../platform/storeEra';
import { storeOpener } from '../../platform/storeOpener';
import { ERA_LIMIT, joinRevision } from '../../src/catalog';
import { type EventDefinition } from '../../src/logging';
import { SystemClock } from '../../src/runtime';
import { SOURCE_EVENTS } from '../../src/source';
import { StoreStandin } from '../../standins/store/storeStandin';

const TIMEOUT_MS = 500;

describe('the era of the store', () => {
  const clock = new SystemClock();

  let standin: StoreStandin;

  let address = '';

  let store: Store;

  let events: EventDefinition[] = [];

  beforeEach(async () => {
    events = [];
    standin = new StoreStandin();
    const era = new StoreEra({ emit: (event) => events.push(event) });
    address = await standin.listen();
    store = new Store(address, clock, era);
  });

  afterEach(() => {
    store.close();
    standin.close();
  });

  const readAll = () => store.readAll(clock.now() + TIMEOUT_MS);
  const watch = (after: number) =>
    store.watch(after, clock.now() + 50, clock.now() + 50 + TIMEOUT_MS);
  const confirm = (after: number) => store.confirm(after, clock.now() + TIMEOUT_MS);

  // Guards against changes of another history that are taken for those after the watched revision (case a).
  it('fails a watch whose revision exists again in a newer era', async () => {
    const revision = standin.put('a', 1);
    const watched = standin.put('b', 1);
    standin.restore(revision);
    standin.put('c', 1);
    standin.put('d', 1);
    expect((await watch(watched)).val).toMatchObject({ kind: 'restored' });
  });

  // Guards against a watch that is open during the restore and passes on changes of the newer era.
  it('fails an open watch that is answered in a newer era', async () => {
    const watched = standin.put('a', 1);
    const pending = store.watch(watched, clock.now() + 2000, clock.now() + 2500);
    while (standin.callCount() === 0) await new Promise(setImmediate);
    standin.restore(watched);
    standin.put('b', 1);
    expect((await pending).val).toMatchObject({ kind: 'restored' });
  });

  // Guards against a restore that is taken for a loss of the history.
  it('fails a watch from a revision that the store does not have', async () => {
    const revision = standin.put('a', 1);
    const watched = standin.put('b', 1);
    standin.restore(revision);
    expect((await watch(watched)).val).toMatchObject({ kind: 'restored' });
  });

  // Guards against priced calls whose answers cannot be used.
  it('sends no watch and no confirmation after a revision of an older era', async () => {
    const revision = standin.put('a', 1);
    standin.restore(revision);
    await readAll();
    const calls = standin.callCount();
    expect((await watch(revision)).val).toMatchObject({ kind: 'restored' });
    expect((await confirm(revision)).val).toMatchObject({ kind: 'restored' });
    expect(standin.callCount()).toBe(calls);
  });

  // Guards against a list that mixes two histories (case b).
  it('fails a list whose pages come from two eras', async () => {
    standin.pageSize = 1;
    standin.put('a', 1);
    const revision = standin.put('b', 1);
    standin.mangle = (reply) => {
      standin.mangle = null;
      standin.restore(revision);
      return reply;
    };
    expect((await readAll()).val).toMatchObject({ kind: 'restored' });
    expect((await readAll()).unwrap()).toMatchObject({
      asOf: joinRevision(1, revision),
      records: [{ key: 'a' }, { key: 'b', revision: joinRevision(1, revision) }],
    });
  });

  // Guards against a delayed answer that reverts what was read (case c), and against a host that has no
  // source for good because the era fell (case g).
  it('rejects answers of an older era, unless three came in a row', async () => {
    const revision = standin.put('a', 1);
    standin.restore(revision);
    expect((await readAll()).unwrap().asOf).toBe(joinRevision(1, revision));
    standin.eraHeader = '0';
    for (let attempt = 0; attempt < 3; attempt += 1)
      expect((await readAll()).val).toMatchObject({ kind: 'unreadable' });
    expect((await readAll()).unwrap().asOf).toBe(joinRevision(1, revision));
    expect((await watch(joinRevision(1, revision))).ok).toBe(true);
    standin.eraHeader = undefined;
    await readAll();
    standin.eraHeader = '0';
    expect((await readAll()).val).toMatchObject({ kind: 'unreadable' });
  });

  // Guards against a connection of the process that trusts an old answer, since only another one has seen the
  // newer era.
  it('is shared by the connections of a process', async () => {
    const openSource = storeOpener();
    const sources = [0, 1].map(() => openSource(address, clock, { emit: () => {} }));
    const [first, second] = [sources[0]!, sources[1]!];
    standin.eraHeader = '4';
    expect((await first.readAll(clock.now() + TIMEOUT_MS)).ok).toBe(true);
    standin.eraHeader = '3';
    expect((await second.readAll(clock.now() + TIMEOUT_MS)).val).toMatchObject({
      kind: 'unreadable',
    });
    for (const source of sources) source.close();
  });

  // Guards against a host that stops reading, or logs without end, at a header that it cannot use (case g).
  it.each([null, 'x', '', '-1', '1.5', '1, 1', ['1', '1'], String(ERA_LIMIT), '9'.repeat(30)])(
    'counts the known era with the header %j and logs that once',
    async (header) => {
      const revision = standin.put('a', 1);
      standin.eraHeader = header;
      expect((await readAll()).unwrap().asOf).toBe(revision);
      standin.eraHeader = '7';
      await readAll();
      standin.eraHeader = header;
      expect((await readAll()).unwrap().asOf).toBe(joinRevision(7, revision));
      expect(events).toEqual([SOURCE_EVENTS.eraUnreadable]);
    },
  );
});
