import { WaitQueue } from '../../src/placement';
import { ManualClock } from '../../src/runtime';

function createQueue() {
  const clock = new ManualClock();
  const queue = new WaitQueue(clock);
  const woken: string[] = [];
  const add = (name: string, rank: number, latestStart: number) => {
    const call = { rank, latestStart, wake: () => woken.push(name) };
    queue.add(call);
    return call;
  };
  return { clock, queue, woken, add };
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
    expect(queue.hasCallAhead({ rank: 0, latestStart: 10 })).toBe(true);
    expect(queue.hasCallAhead({ rank: 0, latestStart: 90 })).toBe(false);
  });

  // Guards against waking a call that has already ended.
  it('are not woken after their removal', () => {
    const { queue, woken, add } = createQueue();
    queue.remove(add('gone', 0, 10));
    queue.wake(5);
    expect([woken, queue.size()]).toEqual([[], 0]);
  });
});
