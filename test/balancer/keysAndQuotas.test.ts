import { type CallQuotas, type QuotaDecision, UNLIMITED_QUOTAS } from '../../src/delivery';
import { ALWAYS_VALID_KEYS, type KeyValidity } from '../../src/freshness';
import { type PublishedTenant } from '../../standins/store/publishedValues';
import { RawCaller } from '../support/rawCaller';
import { TestPlatform } from '../support/testPlatform';

const KEYED = { prefix: '/read/', service: 'reads', isIdempotent: true };
const OPEN = { prefix: '/open/', service: 'reads', isIdempotent: true, isPublic: true };
const TENANTS: readonly PublishedTenant[] = [
  { name: 'red', keys: ['red-key'], callsPerSecond: 5, burst: 5 },
  { name: 'free', keys: ['free-key'] },
];
const GRANTED: QuotaDecision = { kind: 'granted' };

/** Decides all calls alike, and records what it is asked. */
class ScriptedQuotas implements CallQuotas {
  readonly asked: string[] = [];

  readonly released: string[] = [];

  constructor(public decision: QuotaDecision | Promise<QuotaDecision>) {}

  async acquire({ name }: { readonly name: string }): Promise<QuotaDecision> {
    this.asked.push(name);
    return this.decision;
  }

  release({ name }: { readonly name: string }): void {
    this.released.push(name);
  }
}

describe('a host with keys and limits', () => {
  let platform: TestPlatform;

  beforeEach(async () => {
    platform = new TestPlatform();
    platform.configure([KEYED, OPEN], {}, TENANTS);
    await platform.addServer('reads', { id: 'i-1', workMs: 5 });
  });

  afterEach(() => platform.stop());

  const requestCount = () => platform.servers.get('i-1')!.requestCount;

  const startWithKeys = async (over: Partial<KeyValidity>) => {
    let requested = 0;
    const requestProof = () => {
      requested += 1;
    };
    const keys = { ...ALWAYS_VALID_KEYS, requestProof, retryAfterMs: () => 70, ...over };
    // Owners of quotas decide only some time after a start.
    await platform.start({ parts: { keys, quotas: UNLIMITED_QUOTAS } });
    return () => requested;
  };

  const startWithQuotas = async (decision: QuotaDecision | Promise<QuotaDecision>) => {
    const quotas = new ScriptedQuotas(decision);
    await platform.start({ parts: { quotas } });
    return quotas;
  };

  const keyed = (key = 'red-key') => platform.call('GET', '/read/x', { key });

  const endsOf = () =>
    platform.events.filter(({ number }) => number === 2203).map(({ fields }) => fields);

  // Guards against a withdrawn key that is used by a host which cannot know of the withdrawal, and against
  // public calls that are refused with the others.
  it('refuses calls that need a key while keys may not be used, and serves public ones', async () => {
    const requested = await startWithKeys({ mayUseKeys: () => false });
    const reply = await keyed();
    expect([reply.status, reply.headers['retry-after']]).toEqual([503, '0.070']);
    expect(reply.body).toContain('not run: staleKeys');
    expect((await platform.call('GET', '/read/x')).status).toBe(503);
    expect((await platform.call('GET', '/open/x')).status).toBe(200);
    expect([requestCount(), requested()]).toEqual([1, 2]);
  });

  // Guards against a call whose key may be used when it arrives, but not when its first byte is sent, and
  // against one that is withdrawn and placed in a loop.
  it('asks again when the first byte of a call is about to be sent', async () => {
    const checks = { left: 2, made: 0 };
    const mayUseKeys = () => {
      checks.made += 1;
      checks.left -= 1;
      return checks.left >= 0;
    };
    await startWithKeys({ mayUseKeys });
    const reply = await keyed();
    expect([reply.status, reply.body]).toEqual([503, expect.stringContaining('staleKeys')]);
    expect([requestCount(), checks.made]).toEqual([0, 4]);
  });

  // Guards against a new key that is rejected for good by a host whose configuration is a little old.
  it('does not reject an unknown key while its configuration may be out of date', async () => {
    const proof = { ageMs: 2100 };
    const requested = await startWithKeys({ proofAgeMs: () => proof.ageMs });
    const reply = await keyed('new-key');
    expect([reply.status, reply.headers['retry-after'], requested()]).toEqual([503, '0.070', 1]);
    expect((await keyed()).status).toBe(200);
    expect((await platform.call('GET', '/read/x')).status).toBe(401);
    proof.ageMs = 1900;
    expect((await keyed('new-key')).status).toBe(401);
  });

  // Guards against a tenant without a limit that waits for a decision, and one whose limit is not asked for.
  it('asks for the calls of tenants with a limit only', async () => {
    const quotas = await startWithQuotas(GRANTED);
    const replies = [await keyed(), await keyed('free-key'), await keyed('no-key')];
    expect(replies.map(({ status }) => status)).toEqual([200, 200, 401]);
    expect((await platform.call('GET', '/open/x')).status).toBe(200);
    expect([quotas.asked, quotas.released]).toEqual([['red'], []]);
  });

  // Guards against a refused call that runs, and a status that does not tell whose fault it is.
  it.each([
    ['exceeded', 429, 'quotaExceeded'],
    ['unknown', 503, 'quotaUnknown'],
  ] as const)('answers a call whose limit is %s with %d', async (kind, status, reason) => {
    const quotas = await startWithQuotas({ kind, retryAfterMs: 1234 });
    const reply = await platform.call('POST', '/read/x', { key: 'red-key', body: 'text' });
    expect([reply.status, reply.headers['retry-after']]).toEqual([status, '1.234']);
    expect(JSON.parse(reply.body)).toMatchObject({ status, title: `not run: ${reason}` });
    expect([requestCount(), quotas.released]).toEqual([0, []]);
    expect(endsOf()).toMatchObject([{ tenant: 'red', reason }]);
  });

  // Guards against a limit that is used up by calls that no target got.
  it('returns what was granted to a call that was not sent', async () => {
    const quotas = await startWithQuotas(GRANTED);
    platform.servers.get('i-1')!.crash();
    expect((await keyed()).status).toBe(503);
    expect([quotas.asked, quotas.released]).toEqual([['red'], ['red']]);
  });

  // Guards against a limit that is exceeded by calls that targets ran without an answer.
  it('keeps what was granted to a call that was sent', async () => {
    const quotas = await startWithQuotas(GRANTED);
    for (const mode of ['silent', 'runThenReset', 'full'] as const) {
      platform.servers.get('i-1')!.mode = mode;
      await keyed();
    }
    expect([quotas.asked.length, quotas.released]).toEqual([3, []]);
  });

  // Guards against a call that runs, or whose grant or memory is lost, after its caller left.
  it('ends the call of a caller that leaves before the decision', async () => {
    let decide: (decision: QuotaDecision) => void = () => {};
    const decision = new Promise<QuotaDecision>((resolve) => {
      decide = resolve;
    });
    const quotas = await startWithQuotas(decision);
    const caller = new RawCaller(platform.callerPort);
    caller.write(
      'GET /read/x HTTP/1.1\r\nHost: test.example\r\nRequest-Id: c\r\n' +
        'Authorization: Bearer red-key\r\n\r\n',
    );
    await platform.until(() => quotas.asked.length === 1);
    caller.leave();
    await platform.sleep(50);
    decide(GRANTED);
    await platform.until(() => quotas.released.length === 1);
    await platform.until(() => platform.balancer!.calls.callsRunning() === 0);
    expect(endsOf()).toMatchObject([{ tenant: 'red', end: 'callerLeft' }]);
    expect(requestCount()).toBe(0);
    quotas.decision = GRANTED;
    expect((await keyed()).status).toBe(200);
  });
});
