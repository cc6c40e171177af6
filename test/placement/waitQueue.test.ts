import { type QueuedCall, type QueuePosition, WaitQueue } from '../../src/placement';
import { ManualClock } from '../../src/runtime';

function position(rank: number, latestStart: number, rest: Partial<QueuePosition> = {}) {
  return { call: {}, rank, tenant: null, latestStart, slackUntil: -Infinity, ...rest };
}

function createQueue() {
  const clock = new ManualClock();
  const queue = new WaitQueue(clock);
  const woken: string[] = [];
  const calls = new Map<string, QueuedCall>();
  const add = (name: string, rank: number, latestStart: number, rest = {}) => {
    const call = { ...position(rank, latestStart, rest), wake: () => woken.push(name) };
    queue.add(call);
    calls.set(name, call);
    return call;
  };
  const placeNext = () => {
    woken.length = 0;
    queue.wake(1);
    const name = woken[0]!;
    const call = calls.get(name)!;
    queue.remove(call);
    queue.recordPlaced(call);
    // The same sender has a further call waiting.
    add(name, call.rank, call.latestStart, { tenant: call.tenant });
    return name;
  };
  return { clock, queue, woken, add, placeNext };
}

function count(names: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1;
  return counts;
}

describe('queued calls', () => {
  // Guards against urgent calls that wait behind less urgent ones.
  it('are ordered by rank, then by the time left', () => {
    const { queue, woken, add } = createQueue();
    add('low', 1, 50);
    add('later', 0, 90);
    add('sooner', 0, 60);
    queue.wake(2);
    expect(woken).toEqual(['sooner', 'later']);
  });

  // Load pattern: a burst above the capacity; in first-in-first-out order every call would be late.
  it('yield to calls in time once they are late', () => {
    const { clock, queue, woken, add } = createQueue();
    add('urgent, late', 0, 10);
    add('in time', 1, 100);
    clock.advanceTo(20);
    queue.wake(1);
    expect(woken).toEqual(['in time']);
    expect(queue.hasCallAhead(position(0, 10))).toBe(true);
    expect(queue.hasCallAhead(position(0, 90))).toBe(false);
  });

  // Guards against waking a call that has already ended.
  it('are not woken after their removal', () => {
    const { queue, woken, add } = createQueue();
    queue.remove(add('gone', 0, 10));
    queue.wake(5);
    expect([woken, queue.size()]).toEqual([[], 0]);
  });

  // Guards against a call that leaves free slots to others and keeps calls of its rank waiting meanwhile.
  it('with slack do not precede calls of their rank without slack', () => {
    const { queue, add } = createQueue();
    add('with slack', 1, 50, { slackUntil: 30 });
    expect(queue.hasCallAhead(position(1, 90))).toBe(false);
  });
});

describe('turns in the wait queue', () => {
  // Guards against ranks that starve while more urgent calls always wait.
  it.each([2, 3])('give each of %i ranks one in eight placements', (ranks) => {
    const { add, placeNext } = createQueue();
    for (let rank = 0; rank < ranks; rank += 1) add(`rank ${rank}`, rank, 1000);
    const placed = Array.from({ length: 80 }, placeNext);
    for (let start = 0; start + 8 <= placed.length; start += 1)
      expect(Object.keys(count(placed.slice(start, start + 8)))).toHaveLength(ranks);
  });

  // Guards against a late call of a rank that is due and waits behind urgent calls in time.
  it('come at once: the call that is due is woken and precedes all others', () => {
    const { clock, queue, woken, add } = createQueue();
    const late = add('late', 1, 10);
    clock.advanceTo(20);
    for (let number = 0; number < 7; number += 1) {
      expect(queue.isDue(late.call)).toBe(false);
      queue.recordPlaced(position(0, 100));
    }
    expect([woken, queue.isDue(late.call)]).toEqual([['late'], true]);
    expect(queue.hasCallAhead(position(0, 100))).toBe(true);
    expect(queue.hasCallAhead(late)).toBe(false);
  });

  // Guards against a tenant that gets more because it sends more.
  it('go round the tenants of one rank', () => {
    const { add, placeNext } = createQueue();
    for (let number = 0; number < 20; number += 1)
      add(`large ${number}`, 0, 50, { tenant: 'large' });
    add('small', 0, 900, { tenant: 'small' });
    const placed = Array.from({ length: 40 }, placeNext);
    expect(count(placed).small).toBe(20);
  });

  // Guards against many tenants of a low rank that share one in eight placements.
  it('give each tenant a quarter of what the mean tenant gets', () => {
    const { add, placeNext } = createQueue();
    add('urgent', 0, 1000, { tenant: 'urgent' });
    const others = ['one', 'two', 'three', 'four', 'five'];
    for (const tenant of others) add(tenant, 1, 1000, { tenant });
    const counts = count(Array.from({ length: 600 }, placeNext));
    for (const tenant of others) expect(counts[tenant]).toBeGreaterThanOrEqual(600 / 6 / 4);
  });

  // Guards against turns that change the order where calls have one rank and no tenant.
  it('do not exist with one rank and one tenant', () => {
    const { queue, woken, add, placeNext } = createQueue();
    add('sooner', 0, 50);
    add('later', 0, 90);
    expect(count(Array.from({ length: 30 }, placeNext))).toEqual({ sooner: 30 });
    queue.wake(2);
    expect(woken.slice(-2)).toEqual(['sooner', 'later']);
  });
});
