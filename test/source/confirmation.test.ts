import { Store } from '../../platform/store';
import { StoreEra } from '../../platform/storeEra';
import { SystemClock } from '../../src/runtime';
import { StoreStandin } from '../../standins/store/storeStandin';

const CONFIGURATION_KEY = 'op/config';
const TIMEOUT_MS = 300;

describe('a confirmation of the store', () => {
  const clock = new SystemClock();

  let standin: StoreStandin;

  let store: Store;

  beforeEach(async () => {
    standin = new StoreStandin();
    store = new Store(await standin.listen(), clock, new StoreEra({ emit: () => {} }));
  });

  afterEach(() => {
    store.close();
    standin.close();
  });

  const confirm = (after: number) => store.confirm(after, clock.now() + TIMEOUT_MS);

  // Guards against a change of the configuration that a confirmation conceals, against changes of other keys
  // that are taken for one, and against those that nobody reads.
  it('has the changes of the configuration only', async () => {
    const first = standin.put(CONFIGURATION_KEY, {});
    const other = standin.put(`${CONFIGURATION_KEY}-2`, {});
    expect((await confirm(first)).unwrap()).toEqual({
      asOf: other,
      records: [],
      newestChange: other,
    });
    const second = standin.put(CONFIGURATION_KEY, {});
    const { asOf, records } = (await confirm(first)).unwrap();
    expect([asOf, records.map(({ revision }) => revision)]).toEqual([second, [second]]);
  });

  // Guards against a host that gets no proof any more once the store has discarded the history.
  it('reads the configuration when the history is gone', async () => {
    const revision = standin.put(CONFIGURATION_KEY, {});
    const asOf = standin.put('servers/i-1', {});
    standin.compactHistory();
    const confirmation = (await confirm(revision)).unwrap();
    expect(confirmation.asOf).toBe(asOf);
    expect(confirmation.records.map((record) => record.revision)).toEqual([revision]);
  });

  // Guards against an item that cannot be read, and may be a newer configuration, as a confirmation.
  it('fails with an item that has no key', async () => {
    standin.mangle = (reply) => reply.replace('"events":[]', '"events":[{"revision":9}]');
    expect((await confirm(1)).val).toMatchObject({ kind: 'unreadable' });
  });

  // Guards against a call without an answer that is taken for an unchanged configuration.
  it('fails without an answer', async () => {
    standin.setConfirmationMode('drops');
    expect((await confirm(1)).val).toMatchObject({ kind: 'timeout' });
  });

  // Guards against a stand-in whose old and late answers are not old, on which other tests rely.
  it('may be answered with an old state', async () => {
    const revision = standin.put(CONFIGURATION_KEY, {});
    standin.setConfirmationMode('old');
    standin.put(CONFIGURATION_KEY, {});
    expect((await confirm(revision)).unwrap()).toEqual({
      asOf: revision,
      records: [],
      newestChange: 0,
    });
    standin.setConfirmationMode('well');
    standin.confirmationDelayMs = TIMEOUT_MS / 2;
    const late = confirm(revision + 1);
    await new Promise((resolve) => {
      setTimeout(resolve, TIMEOUT_MS / 4);
    });
    standin.put(CONFIGURATION_KEY, {});
    expect((await late).unwrap()).toEqual({
      asOf: revision + 1,
      records: [],
      newestChange: 0,
    });
  });
});
