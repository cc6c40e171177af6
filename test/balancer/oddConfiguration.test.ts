import { configurationValue } from '../../standins/store/publishedValues';
import { TestPlatform } from '../support/testPlatform';

const READ_ROUTE = { prefix: '/read/', service: 'reads', isIdempotent: true };

interface Table {
  readonly columns: readonly string[];
  readonly rows: readonly (readonly unknown[])[];
}

/** The published configuration with `rows` added to its routes. */
function withRouteRows(rows: readonly (readonly unknown[])[]): unknown {
  const value = configurationValue(100, [READ_ROUTE]) as { readonly routes: Table };
  return { ...value, routes: { ...value.routes, rows: [...rows, ...value.routes.rows] } };
}

const ODD_ROWS: Readonly<Record<string, readonly unknown[]>> = {
  'an empty row': [],
  'a prefix without slashes': ['odd', 'test.example', 'odd', 'idempotent', 1000, 200, 0, 'reads'],
  'a time limit that is a text': [
    'odd',
    'test.example',
    '/o/',
    'idempotent',
    '1 s',
    200,
    0,
    'r',
    1,
  ],
  'an objective below zero': ['odd', 'test.example', '/o/', 'idempotent', 1000, -1, 0, 'reads', 1],
};

const TENANT_ROWS = [['tenant', ['key'], null, 0, 0]];
const TENANT_COLUMNS = ['name', 'api_keys', 'priority', 'rate_per_s', 'burst'];

const MALFORMED_TENANTS: Readonly<Record<string, unknown>> = {
  'a text': 'none',
  'a list': [],
  'a table without columns': { rows: TENANT_ROWS },
  'a table without rows': { columns: TENANT_COLUMNS },
  'a table whose columns are null': { columns: null, rows: TENANT_ROWS },
  'a table without a column for keys': { columns: ['name'], rows: [['tenant']] },
};

describe('a configuration with something unknown in it', () => {
  let platform: TestPlatform;

  beforeEach(async () => {
    platform = new TestPlatform();
    await platform.addServer('reads', { id: 'i-read', workMs: 2 });
  });

  afterEach(() => platform.stop());

  /** Adds two servers that run each call and fail it; returns the number of runs. */
  const addFailingServers = async () => {
    const servers = [
      await platform.addServer('jobs', { id: 'i-1', workMs: 2 }),
      await platform.addServer('jobs', { id: 'i-2', workMs: 2 }),
    ];
    for (const server of servers) server.mode = 'fails';
    return () => servers.reduce((sum, { runs }) => sum + runs.length, 0);
  };

  const remarkLines = () => platform.events.filter(({ number }) => number === 2005);

  // Guards against a fleet that serves nothing, since one route is of a type that was added later. A call
  // of that type may have effects, so it must not be repeated: the first server runs it and fails it.
  it('is used, with the strictest handling of a route of an unknown type', async () => {
    const runs = await addFailingServers();
    platform.configure([
      READ_ROUTE,
      { prefix: '/job/', service: 'jobs', isIdempotent: false, type: 'job' },
    ]);
    await platform.start();
    expect((await platform.call('GET', '/read/x')).status).toBe(200);
    const reply = await platform.call('POST', '/job/x', { body: 'x' });
    expect({ status: reply.status, runs: runs() }).toEqual({ status: 500, runs: 1 });
    expect(remarkLines().map(({ fields }) => fields.count)).toEqual([1]);
    expect(JSON.stringify(remarkLines()[0]!.fields)).toContain('unknown type job');
  });

  // Guards against a type with a meaning of its own that is reported as unknown.
  it('takes uploads for calls that must not be repeated, without a remark', async () => {
    const runs = await addFailingServers();
    platform.configure([{ prefix: '/up/', service: 'jobs', isIdempotent: false, type: 'upload' }]);
    await platform.start();
    await platform.call('POST', '/up/x', { body: 'x' });
    expect(runs()).toBe(1);
    expect(remarkLines()).toEqual([]);
  });

  // Guards against one unreadable row that takes all routes out of service.
  it.each(Object.entries(ODD_ROWS))('is used without the row: %s', async (_, row) => {
    platform.store.put('op/config', withRouteRows([row]));
    await platform.start();
    expect((await platform.call('GET', '/read/x')).status).toBe(200);
    expect(remarkLines().map(({ fields }) => fields.count)).toEqual([1]);
  });

  const callWithTenants = async (tenants: unknown, headers = {}) => {
    const value = configurationValue(100, [READ_ROUTE]) as object;
    platform.store.put('op/config', { ...value, tenants });
    await platform.start();
    return (await platform.call('GET', '/read/x', { headers })).status;
  };

  // Guards against a configuration that is not used since a list of the platform is null where it is empty.
  it('is used without tenants when they are null', async () => {
    expect(await callWithTenants(null)).toBe(200);
    expect(remarkLines()).toEqual([]);
  });

  // Guards against an unusable configuration, and against routes that are open to callers without a key.
  it.each(Object.entries(MALFORMED_TENANTS))(
    'keeps its routes when tenants are %s',
    async (_, odd) => {
      expect(await callWithTenants(odd, { authorization: 'Bearer key' })).toBe(401);
      expect(remarkLines().map(({ fields }) => fields.count)).toEqual([1]);
    },
  );

  // Guards against one row that takes the keys of all tenants out of service.
  it('is used without a row of tenants that is not a list', async () => {
    const tenants = { columns: TENANT_COLUMNS, rows: [null, ...TENANT_ROWS] };
    expect(await callWithTenants(tenants, { authorization: 'Bearer key' })).toBe(200);
    expect(remarkLines().map(({ fields }) => fields.count)).toEqual([1]);
  });
});
