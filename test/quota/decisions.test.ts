import { Reserve } from '../../src/quota/reserve';

import { ConnectedQuotas } from './connectedQuotas';
import { RULES } from './quotaFleet';
import { tenantOf } from './tenants';
import { mostCalls } from './usage';

const TENANT = tenantOf('t', 10, 10);
const ZONES = ['a', 'a', 'b', 'b', 'c', 'c'];
// The burst of the tenant with the room that an owner adds: within the limit of a window.
const MANY = 200;

describe('the owner of a quota', () => {
  // Guards against a lost answer that costs a second token.
  it('takes one token for a question that is repeated', async () => {
    const quotas = new ConnectedQuotas(ZONES, [TENANT]);
    const { owner, others } = quotas.split(TENANT);
    const tokens = () => quotas.quotasOf(owner).describe()[0]!.tokens;
    const before = tokens();
    let answers = 0;
    quotas.drops = ({ kind }) => {
      answers += kind === 'quotaAnswer' ? 1 : 0;
      return kind === 'quotaAnswer' && answers === 1;
    };
    expect(await quotas.call(others[0]!, TENANT)).toEqual({ kind: 'granted' });
    expect(answers).toBe(2);
    expect(quotas.sent.filter(({ kind }) => kind === 'quotaQuestion')).toHaveLength(2);
    expect(before - tokens()).toBe(1);
  });

  // Guards against a substitute that grants the limit a second time.
  it('and a substitute beside it stay within the overage', async () => {
    const quotas = new ConnectedQuotas(ZONES, [TENANT]);
    const { owner, others } = quotas.split(TENANT);
    const ownerIp = `10.0.0.${owner.split('-')[1]!}`;
    quotas.drops = (_message, toIp) => toIp === ownerIp;
    const startedAt = quotas.clock.now();
    let granted = 0;
    while (quotas.clock.now() < startedAt + RULES.windowMs) {
      granted += await quotas.countGranted(others[0]!, TENANT, 1);
      granted += await quotas.countGranted(owner, TENANT, 7);
      quotas.clock.advanceBy(10);
    }
    expect(granted).toBeGreaterThan(TENANT.callsPerSecond * (RULES.windowMs / 1000));
    expect(granted).toBeLessThanOrEqual(mostCalls(TENANT));
  });

  // Guards against a new process that grants again what its predecessor granted: together they stay within
  // the limit of a window.
  it('does not grant what its predecessor granted when it has just started', async () => {
    const quotas = new ConnectedQuotas(ZONES, [TENANT]);
    const { owner } = quotas.split(TENANT);
    const grantedBefore = await quotas.countGranted(owner, TENANT, MANY);
    quotas.start(owner, ZONES[Number(owner.split('-')[1])]!);
    quotas.publish([TENANT]);
    const startedAt = quotas.clock.now();
    let granted = 0;
    while (quotas.clock.now() < startedAt + RULES.windowMs) {
      granted += await quotas.countGranted(owner, TENANT, 1);
      quotas.clock.advanceBy(5);
    }
    expect(grantedBefore + granted).toBeLessThanOrEqual(mostCalls(TENANT));
    expect(granted).toBeLessThanOrEqual(TENANT.callsPerSecond * (RULES.windowMs / 1000));
    quotas.clock.advanceBy(RULES.windowMs);
    expect(await quotas.countGranted(owner, TENANT, MANY)).toBeGreaterThanOrEqual(TENANT.burst);
  });

  // Guards against a limit that binds only after a restart, or that a window of the old one delays.
  it('applies a lowered and a raised limit at once', async () => {
    const quotas = new ConnectedQuotas(ZONES, [TENANT]);
    const { others } = quotas.split(TENANT);
    const lowered = tenantOf('t', 1, 1);
    quotas.publish([lowered]);
    expect(await quotas.countGranted(others[0]!, lowered, MANY)).toBeLessThanOrEqual(
      mostCalls(lowered),
    );
    const raised = tenantOf('t', 100, 50);
    quotas.publish([raised]);
    expect(await quotas.countGranted(others[1]!, raised, MANY)).toBeGreaterThanOrEqual(
      raised.burst - lowered.burst,
    );
  });

  // Guards against callers that come back when they were told to and are refused again.
  it('names a Retry-After after which a call is granted', async () => {
    const quotas = new ConnectedQuotas(ZONES, [TENANT]);
    const { owner, others } = quotas.split(TENANT);
    for (const host of [owner, others[0]!, others[1]!]) {
      await quotas.countGranted(host, TENANT, MANY);
      const refusal = await quotas.call(host, TENANT);
      if (refusal.kind !== 'exceeded') throw new Error(`${refusal.kind} instead of exceeded`);
      quotas.clock.advanceBy(refusal.retryAfterMs);
      expect(await quotas.call(host, TENANT)).toEqual({ kind: 'granted' });
    }
  });

  // Guards against calls that are counted although they were refused later on the way.
  it('gets returned calls back', async () => {
    const quotas = new ConnectedQuotas(ZONES, [TENANT]);
    const { owner, others } = quotas.split(TENANT);
    const granted = await quotas.countGranted(others[0]!, TENANT, MANY);
    for (let returned = 0; returned < granted; returned += 1)
      quotas.quotasOf(others[0]!).release(TENANT);
    quotas.clock.advanceBy(200);
    expect(await quotas.countGranted(others[0]!, TENANT, MANY)).toBeGreaterThanOrEqual(granted);
    expect(await quotas.countGranted(owner, TENANT, MANY)).toBe(0);
  });

  // Guards against a tenant that delays or refuses the calls of others.
  it('decides about others at once while a tenant is far over its limit', async () => {
    const other = tenantOf('other', 10, 10);
    const quotas = new ConnectedQuotas(ZONES, [TENANT, other]);
    await quotas.countGranted('host-0', TENANT, MANY);
    for (let flood = 0; flood < MANY; flood += 1) void quotas.quotasOf('host-0').acquire(TENANT);
    const startedAt = quotas.clock.now();
    expect(await quotas.call('host-0', other)).toEqual({ kind: 'granted' });
    expect(quotas.clock.now() - startedAt).toBeLessThanOrEqual(3);
  });

  // Guards against datagrams and delays where no limit is set.
  it('is not asked for tenants without a limit', async () => {
    const unlimited = tenantOf('u', 0, 0);
    const quotas = new ConnectedQuotas(ZONES, [TENANT, unlimited]);
    expect(await quotas.countGranted('host-0', unlimited, MANY)).toBe(MANY);
    quotas.quotasOf('host-0').release(unlimited);
    expect(quotas.sent).toEqual([]);
  });

  // Guards against calls that wait for an owner that is known not to answer.
  it('is passed over after it did not answer, and used again when it does', async () => {
    const quotas = new ConnectedQuotas(ZONES, [TENANT]);
    const { owner, others } = quotas.split(TENANT);
    const ownerIp = `10.0.0.${owner.split('-')[1]!}`;
    quotas.drops = (_message, toIp) => toIp === ownerIp;
    await quotas.call(others[0]!, TENANT);
    const startedAt = quotas.clock.now();
    await quotas.call(others[0]!, TENANT);
    expect(quotas.clock.now() - startedAt).toBeLessThanOrEqual(3);
    quotas.drops = () => false;
    quotas.clock.advanceBy(500);
    await quotas.call(others[0]!, TENANT);
    expect(await quotas.countGranted(others[0]!, TENANT, 10)).toBe(10);
  });
});

describe('the reserve', () => {
  // Guards against hosts that each grant a reserve of their own while nobody reaches the others.
  it.each([1, 5, 17, 129])('of %d hosts together is at most half the slack in a window', (size) => {
    const reserves = Array.from(
      { length: size },
      (_, index) => new Reserve(`host-${index}`, RULES),
    );
    const times: number[] = [];
    for (let now = 0; now < 10 * RULES.windowMs; now += 50)
      for (const [index, reserve] of reserves.entries())
        // Clocks of hosts differ.
        if (reserve.take(now + index * 777, 't', size)) times.push(now);
    for (const start of times) {
      const inWindow = times.filter((at) => at >= start && at < start + RULES.windowMs);
      expect(inWindow.length).toBeLessThanOrEqual(RULES.slack / 2);
    }
  });
});
