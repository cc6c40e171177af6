import { PrometheusSink } from '../../src/metrics';
import { type PublishedTenant } from '../../standins/store/publishedValues';
import { RawCaller } from '../support/rawCaller';
import { TestPlatform } from '../support/testPlatform';

const KEYED = { prefix: '/read/', service: 'reads', isIdempotent: true };
const OPEN = { prefix: '/open/', service: 'reads', isIdempotent: true, isPublic: true };
const RED: PublishedTenant = { name: 'red', keys: ['red-key-1'] };
const BLUE: PublishedTenant = { name: 'blue', keys: ['blue-key-1', 'blue-key-2'] };

describe('calls with keys', () => {
  let platform: TestPlatform;
  let metrics: PrometheusSink;

  beforeEach(async () => {
    platform = new TestPlatform();
    metrics = new PrometheusSink();
    await platform.addServer('reads', { id: 'i-1', workMs: 5 });
  });

  afterEach(() => platform.stop());

  const start = async (tenants: readonly PublishedTenant[] | null = [RED, BLUE]) => {
    platform.configure([KEYED, OPEN], {}, tenants);
    await platform.start({ parts: { metrics } });
  };

  /** Values of the headers with this name in all requests that servers got. */
  const received = (name: string) =>
    [...platform.servers.values()].flatMap((server) =>
      server.received.map(({ headers }) =>
        headers.filter(([given]) => given.replaceAll('_', '-') === name).map(([, value]) => value),
      ),
    );

  const textOfRequests = () =>
    JSON.stringify([...platform.servers.values()].map((server) => server.received));

  const applied = async (version: number) => {
    const hasVersion = () =>
      platform.events.some(
        ({ number, fields }) => number === 2308 && Number(fields.version) >= version,
      );
    await platform.until(hasVersion);
  };

  // Guards against a key in the request of a target, and against a target that is not told the tenant.
  it('reach targets with the name of the tenant in place of the key', async () => {
    await start();
    const reply = await platform.call('GET', '/read/x', { key: 'blue-key-2' });
    const open = await platform.call('GET', '/open/x', { key: 'red-key-1' });
    const unknown = await platform.call('GET', '/open/x', { key: 'no-key' });
    expect([reply.status, open.status, unknown.status]).toEqual([200, 200, 200]);
    expect(received('tenant-id')).toEqual([['blue'], [], []]);
    expect(textOfRequests()).not.toMatch(/authorization|-key/i);
  });

  // Guards against a key that a second attempt takes along.
  it('are retried without the key', async () => {
    await start();
    await platform.addServer('reads', { id: 'i-2', workMs: 5 });
    await platform.sleep(300);
    for (const server of platform.servers.values()) server.mode = 'fails';
    await platform.call('GET', '/read/x', { key: 'red-key-1' });
    expect(received('tenant-id')).toEqual([['red'], ['red']]);
    expect(textOfRequests()).not.toMatch(/authorization|-key/i);
  });

  // Guards against a key that a hedge takes along.
  it('are hedged without the key', async () => {
    await start();
    await platform.call('GET', '/read/x', { key: 'red-key-1' });
    platform.servers.get('i-1')!.mode = 'silent';
    await platform.addServer('reads', { id: 'i-2', workMs: 5 });
    await platform.sleep(300);
    const reply = await platform.call('GET', '/read/x', { key: 'red-key-1' });
    expect(reply.body).toContain('i-2');
    expect(platform.events.some(({ number }) => number === 2202)).toBe(true);
    expect(received('tenant-id')).toEqual([['red'], ['red'], ['red']]);
    expect(textOfRequests()).not.toMatch(/authorization|-key/i);
  });

  // Guards against callers that pass for another tenant at targets.
  it.each(['Tenant-Id', 'TENANT-ID', 'tenant_id', 'Tenant_ID'])(
    'cannot name a tenant in %s',
    async (name) => {
      await start();
      const headers = { [name]: 'forged' };
      await platform.call('GET', '/read/x', { key: 'red-key-1', headers });
      await platform.call('GET', '/open/x', { headers });
      expect(received('tenant-id')).toEqual([['red'], []]);
    },
  );

  // Guards against a change for deployments without tenants, whose targets may read both headers.
  it('are passed on as they are without tenants', async () => {
    await start(null);
    const options = { key: 'red-key-1', headers: { 'Tenant-Id': 'own' } };
    expect((await platform.call('GET', '/read/x', options)).status).toBe(200);
    expect([received('authorization'), received('tenant-id')]).toEqual([
      [['Bearer red-key-1']],
      [['own']],
    ]);
  });

  // Guards against malformed headers that get a call to a target, or that end the connection.
  it('are answered 401 unless they have exactly one well-formed key', async () => {
    await start();
    const lines = [
      '',
      'Authorization: \r\n',
      'Authorization: Bearer\r\n',
      'Authorization: red-key-1\r\n',
      'Authorization: Basic red-key-1\r\n',
      'Authorization: Bearer  red-key-1\r\n',
      'Authorization: Bearer red-key-1 x\r\n',
      'Authorization: Bearer red-key-1,Bearer red-key-1\r\n',
      'Authorization: Bearer red-key-1\r\nAuthorization: Bearer red-key-1\r\n',
      'Authorization: Bearer red-key-1\r\nauthorization: Bearer blue-key-1\r\n',
      'Authorization: Bearer red-key-1\u00e9\r\n',
      `Authorization: Bearer ${'k'.repeat(5000)}\r\n`,
      'Authorization: Bearer no-key\r\n',
    ];
    const caller = new RawCaller(platform.callerPort);
    for (const [index, line] of lines.entries()) {
      const head = `GET /read/x HTTP/1.1\r\nHost: test.example\r\nRequest-Id: c-${index}\r\n`;
      caller.write(Buffer.from(`${head}${line}\r\n`, 'latin1'));
      await platform.until(() => caller.answers().filter((a) => a.isWhole).length > index);
    }
    expect(caller.statuses()).toEqual(lines.map(() => '401'));
    expect(caller.text.match(/www-authenticate: Bearer\r\n/gi)).toHaveLength(lines.length);
    expect(caller.text).not.toMatch(/-key/);
    expect(JSON.parse(caller.answers()[0]!.body)).toMatchObject({ status: 401 });
    expect(platform.servers.get('i-1')!.requestCount).toBe(0);
    expect(metrics.render()).toMatch(`calls_unauthorized ${lines.length}\n`);
    caller.leave();
  });

  // Guards against keys that can be read from the log or the metrics, and tenants that cannot.
  it('leave the name of the tenant and no key in the log and the metrics', async () => {
    await start();
    for (const key of ['red-key-1', 'no-key']) await platform.call('GET', '/read/x', { key });
    const lines = platform.events.filter(({ number }) => number === 2200 || number === 2203);
    expect(lines.map(({ fields }) => fields.tenant)).toEqual(['red', 'red', undefined]);
    expect(metrics.render()).toMatch('tenant_calls{tenant="red",outcome="answer"} 1');
    expect(`${JSON.stringify(platform.events)}${metrics.render()}`).not.toMatch(/-key/);
  });

  // Guards against a key that outlives its removal, and one that waits for a restart to be known.
  it('follow the configuration in force', async () => {
    await start();
    const statuses = () =>
      Promise.all(
        ['red-key-1', 'red-key-2'].map(
          async (key) => (await platform.call('GET', '/read/x', { key })).status,
        ),
      );
    expect(await statuses()).toEqual([200, 401]);
    platform.configure([KEYED, OPEN], {}, [{ name: 'red', keys: ['red-key-2'] }, BLUE]);
    await applied(7);
    expect(await statuses()).toEqual([401, 200]);
    platform.configure([KEYED, OPEN]);
    await applied(10);
    expect(await statuses()).toEqual([200, 200]);
  });

  // Guards against a call that runs with the key of another call on its connection.
  it('are told apart when they follow each other on a connection', async () => {
    await start();
    const keys = ['red-key-1', null, 'blue-key-1', 'no-key', 'red-key-1'];
    const caller = new RawCaller(platform.callerPort);
    const heads = keys.map((key, index) => {
      const line = key === null ? '' : `Authorization: Bearer ${key}\r\n`;
      return `GET /read/x HTTP/1.1\r\nHost: test.example\r\nRequest-Id: c-${index}\r\n${line}\r\n`;
    });
    caller.write(heads.join(''));
    await platform.until(() => caller.answers().filter((a) => a.isWhole).length === keys.length);
    expect(caller.statuses()).toEqual(['200', '401', '200', '401', '200']);
    const tenants = platform.servers
      .get('i-1')!
      .received.map(({ id, headers }) => [id, new Map(headers).get('tenant-id')]);
    expect(new Map(tenants as [string, string][])).toEqual(
      new Map([
        ['c-0', 'red'],
        ['c-2', 'blue'],
        ['c-4', 'red'],
      ]),
    );
    caller.leave();
  });

  // Guards against warnings that are repeated with each change of the catalog.
  it('are shared by tenants with one warning', async () => {
    await start([RED, { name: 'copy', keys: ['red-key-1'] }]);
    await platform.addServer('reads', { id: 'i-2', workMs: 5 });
    await platform.sleep(300);
    const warnings = platform.events.filter(({ number }) => number === 2211);
    expect(warnings.map(({ fields }) => fields)).toEqual([
      { first: 'red', other: 'copy', keys: 1 },
    ]);
  });
});
