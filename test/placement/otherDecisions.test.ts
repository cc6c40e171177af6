import { CallRateLimiter, decideRetry, retryAfter, shouldHedge } from '../../src/placement';
import { ManualClock, SeededRandom } from '../../src/runtime';
import { callShare } from '../../src/balancer/callShare';

const RETRY_INPUT = {
  isIdempotent: true,
  attempts: 1,
  mostAttempts: 2,
  unsent: 0,
  leftMs: 500,
  workMs: 100,
};

describe('retries after an attempt', () => {
  // Guards against running a call twice that is not idempotent.
  it('does not retry a call that may have run unless it is idempotent', () => {
    const once = { ...RETRY_INPUT, isIdempotent: false };
    expect(decideRetry('unknown', once)).toBe('finish');
    expect(decideRetry('failed', once)).toBe('finish');
    expect(decideRetry('notRun', once)).toBe('repeat');
    expect(decideRetry('notSent', once)).toBe('resend');
  });

  // Guards against more attempts than the route allows, and against retries without time left.
  it('respects the maximum attempts of the route and needs time left', () => {
    expect(decideRetry('unknown', RETRY_INPUT)).toBe('repeat');
    expect(decideRetry('unknown', { ...RETRY_INPUT, attempts: 2 })).toBe('finish');
    expect(decideRetry('unknown', { ...RETRY_INPUT, leftMs: 50 })).toBe('finish');
  });

  // Guards against a partitioned host that opens one connection after the other until the deadline.
  it('gives up after several connection failures in a row', () => {
    expect(decideRetry('notSent', { ...RETRY_INPUT, unsent: 4 })).toBe('finish');
  });
});

describe('hedging', () => {
  const input = { elapsedMs: 30, objectiveLeftMs: 220, workMs: 100, pace: 100, isLost: false };

  // Load pattern: a target becomes seven times slower while it runs a call.
  it('starts when the target has become slow', () => {
    expect(shouldHedge(input)).toBe(false);
    expect(shouldHedge({ ...input, pace: 700 })).toBe(true);
  });

  // Load pattern: a target stops answering or crashes while it runs calls.
  it('starts when the target is lost, or at the last moment for the objective', () => {
    expect(shouldHedge({ ...input, isLost: true })).toBe(true);
    expect(shouldHedge({ ...input, elapsedMs: 155, objectiveLeftMs: 95 })).toBe(true);
  });
});

describe('the retry delay of a refused caller', () => {
  // Guards against a delay that callers do not honour, and against callers that return all at once.
  it('is randomized and at most a third of the time left', () => {
    const random = new SeededRandom(3);
    const input = { leftMs: 600, workMs: 100, rank: 0, callIntervalMs: 0, quietForMs: 0 };
    const times = Array.from({ length: 100 }, () => retryAfter('overloaded', input, random));
    expect(Math.max(...times)).toBeLessThanOrEqual(200);
    expect(Math.max(...times) - Math.min(...times)).toBeGreaterThan(50);
  });

  // Load pattern: all targets refuse a share of their calls at once although they have free slots.
  it('is short when targets refused a call without being full', () => {
    const input = { leftMs: 1000, workMs: 100, rank: 1, callIntervalMs: 0, quietForMs: 0 };
    expect(retryAfter('refused', input, new SeededRandom(3))).toBeLessThanOrEqual(40);
  });

  // Guards against urgent calls that return after less urgent ones.
  it('is shorter for urgent calls', () => {
    const random = new SeededRandom(3);
    const mean = (rank: number) => {
      let sum = 0;
      for (let turn = 0; turn < 200; turn += 1) {
        sum += retryAfter(
          'overloaded',
          { leftMs: 3000, workMs: 100, rank, callIntervalMs: 0, quietForMs: 0 },
          random,
        );
      }
      return sum / 200;
    };
    expect(mean(0)).toBeLessThan(mean(1));
  });
});

function tryAcquire(limiter: CallRateLimiter, callsPerSecond: number): boolean {
  if (limiter.delay('t', callsPerSecond) > 0) return false;
  limiter.record('t');
  return true;
}

describe('cold targets', () => {
  // Guards against hosts that together send more calls to a cold target than it can handle: 4 hosts
  // see the whole fleet, the others see parts of it, and some have just started.
  it.each([17, 20, 60, 113, 143])('keep their rate with %d hosts whose views differ', (size) => {
    const ids = Array.from({ length: size }, (_, index) => `host-${index}`);
    const rate = 21;
    const random = new SeededRandom(size);
    let sum = 0;
    for (const [index, hostId] of ids.entries()) {
      const misses = random.next() * 0.3;
      const zone = ids.filter((_, other) => other % 3 === index % 3);
      const zoneHosts = zone.filter((id) => id === hostId || random.next() > misses);
      sum += callShare('target', index % 3 === 0, rate, {
        hostId,
        zoneHosts,
        maxLiveHostCount: size,
      });
    }
    expect(sum).toBeLessThanOrEqual(rate * 1.5 + 5);
  });

  // Guards against a partitioned host that uses the shares of all other hosts.
  it('get no calls from a host that sees no other host of a large fleet', () => {
    const fleet = { hostId: 'host-1', zoneHosts: ['host-1'], maxLiveHostCount: 113 };
    expect(callShare('target', true, 21, fleet)).toBe(0);
  });

  // Guards against two calls of one host at the start and the end of the same second.
  it('get at most the share of this host in any second', () => {
    const clock = new ManualClock();
    const limiter = new CallRateLimiter(clock);
    expect(tryAcquire(limiter, 1)).toBe(true);
    clock.advanceBy(900);
    expect(tryAcquire(limiter, 1)).toBe(false);
    clock.advanceBy(101);
    expect(tryAcquire(limiter, 1)).toBe(true);
  });

  // Guards against a share that rounds to zero on every host, and against one of a call per second on
  // every host.
  it.each([
    [17, 0.4],
    [17, 5.1],
    [113, 2.1],
    [312, 0.7],
  ])('share out the whole of a low rate among %d hosts, %d calls per second', (size, rate) => {
    const ids = Array.from({ length: size }, (_, index) => `host-${index}`);
    const zoneHosts = ids.filter((_, index) => index % 3 === 0);
    const shares = ids.map((hostId, index) =>
      callShare('target', index % 3 === 0, rate, { hostId, zoneHosts, maxLiveHostCount: size }),
    );
    expect(shares.reduce((sum, share) => sum + share, 0)).toBeCloseTo(rate);
  });

  // Guards against a share below one call per second that is used as one.
  it('get calls at a rate below one per second', () => {
    const clock = new ManualClock();
    const limiter = new CallRateLimiter(clock);
    let calls = 0;
    for (let step = 0; step < 1000; step += 1) {
      if (tryAcquire(limiter, 0.4)) calls += 1;
      clock.advanceBy(10);
    }
    expect(calls).toBe(4);
    expect(limiter.delay('t', 0)).toBe(Infinity);
  });
});
