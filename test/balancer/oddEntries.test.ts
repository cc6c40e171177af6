import { serverValue } from '../../standins/store/publishedValues';
import { TestPlatform } from '../support/testPlatform';

const GOOD = serverValue('reads', { id: 'i-odd' }, '127.0.0.1:9') as {
  readonly info: object;
  readonly status: object;
};

function entry(changed: object): string {
  return JSON.stringify({ ...GOOD, ...changed });
}

function withStatus(status: object): string {
  return entry({ status: { ...GOOD.status, ...status } });
}

function withInfo(info: object): string {
  return entry({ info: { ...GOOD.info, ...info } });
}

const ODD_ENTRIES: Readonly<Record<string, string>> = {
  'a port above 65535': entry({ address: '127.0.0.1:99999' }),
  'a port of twenty digits': entry({ address: '127.0.0.1:12345678901234567890' }),
  'port 0': entry({ address: '127.0.0.1:0' }),
  'an address above 255': entry({ address: '999.1.1.1:80' }),
  'an address that is an object': entry({ address: { ip: '127.0.0.1' } }),
  'a huge start time': entry({ born: 1e308 }),
  'a huge cold period': withStatus({ warmup_left_ms: 1e308 }),
  'more slots than integers': withInfo({ concurrency: 2 ** 53 - 1 }),
  'a service name of 100,000 characters': withInfo({ service: 's'.repeat(100_000) }),
  'a zone of 100,000 characters': withInfo({ zone: 'z'.repeat(100_000) }),
  'an unknown state': withStatus({ state: 'resting' }),
  'deep nesting': `${'['.repeat(200_000)}${']'.repeat(200_000)}`,
  'nesting in a field': entry({ info: 0 }).replace(
    '"info":0',
    `"info":${'{"info":'.repeat(50_000)}1${'}'.repeat(50_000)}`,
  ),
  'bytes that are no text': '\u0000\ufffd',
  nothing: '',
};

describe('an odd entry among those of the servers', () => {
  let platform: TestPlatform;

  const uncaught: unknown[] = [];

  const onUncaught = (error: unknown) => uncaught.push(error);

  beforeEach(async () => {
    uncaught.length = 0;
    process.on('uncaughtException', onUncaught);
    platform = new TestPlatform();
    platform.configure([{ prefix: '/read/', service: 'reads', isIdempotent: true }]);
    await platform.addServer('reads', { id: 'i-read', workMs: 2 });
    await platform.start();
  });

  afterEach(async () => {
    await platform.stop();
    process.off('uncaughtException', onUncaught);
  });

  const targetsInForce = () =>
    platform.events.filter(({ number }) => number === 2308).at(-1)!.fields.targets;

  // Guards against hosts that end, stop following the list, or use a target that cannot exist, since an
  // entry that another writer left cannot be read; what stands in the same change must be applied.
  it.each(Object.entries(ODD_ENTRIES))(
    'is not used, and the others are followed: %s',
    async (_, value) => {
      platform.store.putBytes('servers/i-odd', Buffer.from(value, 'utf8'));
      await platform.addServer('reads', { id: 'i-next', workMs: 2 });
      await platform.until(() => targetsInForce() === 2);
      await platform.sleep(100);
      const replies = await Promise.all(
        Array.from({ length: 20 }, () => platform.call('GET', '/read/x')),
      );
      expect(replies.map(({ status }) => status)).toEqual(replies.map(() => 200));
      // The entry is mended, and the server is used.
      await platform.addServer('reads', { id: 'i-odd', workMs: 2 });
      await platform.until(() => targetsInForce() === 3);
      expect(uncaught).toEqual([]);
    },
  );

  // Guards against one item of the store that makes the whole read unreadable.
  it.each([
    ['a value that is a number', { value: 7 }],
    ['a revision that is text', { revision: 'x' }],
    ['no key', { key: null }],
  ])('does not keep the rest from being read: %s', async (_, changed) => {
    platform.store.mangle = (reply) => {
      const parsed = JSON.parse(reply) as Record<string, unknown>;
      const name = 'items' in parsed ? 'items' : 'events';
      const odd = { key: 'servers/i-odd', revision: 2, value: '', ...changed };
      return JSON.stringify({ ...parsed, [name]: [odd, ...(parsed[name] as unknown[])] });
    };
    await platform.addServer('reads', { id: 'i-next', workMs: 2 });
    await platform.until(() => targetsInForce() === 2);
    expect((await platform.call('GET', '/read/x')).status).toBe(200);
    expect(uncaught).toEqual([]);
  });
});
