import { RetryBudget } from '../../src/placement';
import { ManualClock, SeededRandom } from '../../src/runtime';

const LIMITS = { ratio: 0.2, slack: 62, windowMs: 10_000 };

// Guards against retries of many hosts that together exceed the budget of a service although each
// host keeps its own: hosts restart at any time and do not know how many others there are.
it.each([1, 2, 3, 4, 5])('limits the sum over all hosts in any window, seed %d', (seed) => {
  const clock = new ManualClock();
  const random = new SeededRandom(seed);
  const hosts = Array.from({ length: 17 }, () => new RetryBudget(clock, LIMITS, 0));
  const firstAttempts: number[] = [];
  const retries: number[] = [];
  for (let step = 0; step < 20_000; step += 1) {
    clock.advanceBy(random.next() * 3);
    const index = random.integer(hosts.length);
    if (random.next() < 0.0005) hosts[index] = new RetryBudget(clock, LIMITS, clock.now());
    const host = hosts[index]!;
    host.recordFirstAttempt();
    firstAttempts.push(clock.now());
    // Every call fails and asks for two retries.
    for (let wish = 0; wish < 2; wish += 1) if (host.tryAcquire(20)) retries.push(clock.now());
  }
  const within = (times: readonly number[], from: number, to: number) =>
    times.filter((at) => at > from && at <= to).length;
  for (let end = 10_000; end < clock.now(); end += 1000) {
    const inWindow = within(firstAttempts, end - 10_000, end);
    const earlier = within(firstAttempts, end - 20_000, end - 10_000);
    const allowed = LIMITS.ratio * Math.max(inWindow, earlier) + LIMITS.slack;
    expect(within(retries, end - 10_000, end)).toBeLessThanOrEqual(allowed);
  }
  expect(retries.length).toBeGreaterThan(firstAttempts.length * 0.1);
});

// Guards against a host that uses the slack of a whole window right after each restart.
it('lets the slack of a host accrue after its start', () => {
  const clock = new ManualClock();
  const budget = new RetryBudget(clock, LIMITS, 0);
  expect(budget.tryAcquire(20)).toBe(false);
  clock.advanceBy(10_000);
  expect(budget.tryAcquire(20)).toBe(true);
});

// Guards against attempts that were withdrawn before a byte left and use up the retries of others.
it('allows another retry for each one that is returned', () => {
  const clock = new ManualClock();
  const budget = new RetryBudget(clock, { ratio: 0, slack: 3, windowMs: 1000 }, -1000);
  const acquire = () => budget.tryAcquire(1);
  expect([acquire(), acquire(), acquire(), acquire()]).toEqual([true, true, true, false]);
  clock.advanceBy(100);
  budget.release();
  expect([acquire(), acquire()]).toEqual([true, false]);
  clock.advanceBy(950);
  // The two that were not returned have left the window; the latest one has not.
  expect([acquire(), acquire(), acquire()]).toEqual([true, true, false]);
});
