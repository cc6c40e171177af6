import { ColdAllowance, decideNext, retryAfter, shouldHedge } from '../../src/placement';
import { ManualClock, SeededRandom } from '../../src/runtime';
import { coldShare } from '../../src/balancer/coldShare';

const NEXT = {
  isIdempotent: true,
  attempts: 1,
  mostAttempts: 2,
  unsent: 0,
  leftMs: 500,
  workMs: 100,
};

describe('what follows an attempt', () => {
  // Guards against a second run of a call that may run once.
  it('never repeats a call that may have run unless it is idempotent', () => {
    const once = { ...NEXT, isIdempotent: false };
    expect(decideNext('unknown', once)).toBe('finish');
    expect(decideNext('failed', once)).toBe('finish');
    expect(decideNext('notRun', once)).toBe('repeat');
    expect(decideNext('notSent', once)).toBe('resend');
  });

  // Guards against more targets than the route allows, and against repeats without time.
  it('keeps the most attempts of the route and needs time left', () => {
    expect(decideNext('unknown', NEXT)).toBe('repeat');
    expect(decideNext('unknown', { ...NEXT, attempts: 2 })).toBe('finish');
    expect(decideNext('unknown', { ...NEXT, leftMs: 50 })).toBe('finish');
  });

  // Guards against a host that is cut off and tries one connection after the other until the end.
  it('gives up when several connections in a row cannot be opened', () => {
    expect(decideNext('notSent', { ...NEXT, unsent: 4 })).toBe('finish');
  });
});

describe('a second target', () => {
  const input = { elapsedMs: 30, objectiveLeftMs: 220, workMs: 100, pace: 100, isLost: false };

  // Load pattern: a target turns seven times slower while it runs a call.
  it('is asked when the target has turned slow', () => {
    expect(shouldHedge(input)).toBe(false);
    expect(shouldHedge({ ...input, pace: 700 })).toBe(true);
  });

  // Load pattern: a target falls silent or dies under its calls.
  it('is asked when the target is lost, or at the last moment for the objective', () => {
    expect(shouldHedge({ ...input, isLost: true })).toBe(true);
    expect(shouldHedge({ ...input, elapsedMs: 155, objectiveLeftMs: 95 })).toBe(true);
  });
});

describe('the time to come back', () => {
  // Guards against a time that the caller does not honour, and against callers that return together.
  it('is spread and at most a third of the time left', () => {
    const random = new SeededRandom(3);
    const input = { leftMs: 600, workMs: 100, rank: 0 };
    const times = Array.from({ length: 100 }, () => retryAfter('overloaded', input, random));
    expect(Math.max(...times)).toBeLessThanOrEqual(200);
    expect(Math.max(...times) - Math.min(...times)).toBeGreaterThan(50);
  });

  // Load pattern: all targets refuse a share of their calls at once although they have room.
  it('is short when targets refused a call without being full', () => {
    const input = { leftMs: 1000, workMs: 100, rank: 1 };
    expect(retryAfter('refused', input, new SeededRandom(3))).toBeLessThanOrEqual(40);
  });

  // Guards against urgent calls that come back behind the others.
  it('is earlier for urgent calls', () => {
    const random = new SeededRandom(3);
    const mean = (rank: number) => {
      let sum = 0;
      for (let turn = 0; turn < 200; turn += 1) {
        sum += retryAfter('overloaded', { leftMs: 3000, workMs: 100, rank }, random);
      }
      return sum / 200;
    };
    expect(mean(0)).toBeLessThan(mean(1));
  });
});

describe('cold targets', () => {
  // Guards against hosts that together send a cold target more than it carries: 4 hosts see the whole
  // fleet, the others see parts of it, and some have just started.
  it.each([17, 20, 60, 113, 143])('keep their rate with %d hosts that disagree', (size) => {
    const ids = Array.from({ length: size }, (_, index) => `host-${index}`);
    const rate = 21;
    const random = new SeededRandom(size);
    let sum = 0;
    for (const [index, hostId] of ids.entries()) {
      const misses = random.next() * 0.3;
      const zone = ids.filter((_, other) => other % 3 === index % 3);
      const zoneHosts = zone.filter((id) => id === hostId || random.next() > misses);
      sum += coldShare('target', index % 3 === 0, rate, { hostId, zoneHosts, largest: size });
    }
    expect(sum).toBeLessThanOrEqual(rate * 1.5 + 5);
  });

  // Guards against a host that is cut off and takes the place of all others.
  it('get nothing from a host that hears nobody of a large fleet', () => {
    const fleet = { hostId: 'host-1', zoneHosts: ['host-1'], largest: 113 };
    expect(coldShare('target', true, 21, fleet)).toBe(0);
  });

  // Guards against two calls of one host at the two ends of the same second.
  it('get at most the share of this host in any second', () => {
    const clock = new ManualClock();
    const allowance = new ColdAllowance(clock);
    expect(allowance.take('t', 1)).toBe(true);
    clock.advanceBy(900);
    expect(allowance.take('t', 1)).toBe(false);
    clock.advanceBy(101);
    expect(allowance.take('t', 1)).toBe(true);
  });
});
