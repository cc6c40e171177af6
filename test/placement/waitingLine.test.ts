import { WaitingLine } from '../../src/placement';
import { ManualClock } from '../../src/runtime';

function build() {
  const clock = new ManualClock();
  const line = new WaitingLine(clock);
  const woken: string[] = [];
  const add = (name: string, rank: number, latestStart: number) => {
    const call = { rank, latestStart, wake: () => woken.push(name) };
    line.add(call);
    return call;
  };
  return { clock, line, woken, add };
}

describe('calls that wait for a target', () => {
  // Guards against urgent calls that wait behind others.
  it('go in the order of rank, then of the time that is left', () => {
    const { line, woken, add } = build();
    add('low', 1, 50);
    add('later', 0, 90);
    add('sooner', 0, 60);
    line.wake(2);
    expect(woken).toEqual(['sooner', 'later']);
  });

  // Load pattern: a burst above the capacity; in the order of arrival every call would be late.
  it('yield to calls that can still be in time once they cannot', () => {
    const { clock, line, woken, add } = build();
    add('urgent, late', 0, 10);
    add('in time', 1, 100);
    clock.advanceTo(20);
    line.wake(1);
    expect(woken).toEqual(['in time']);
    expect(line.hasBefore({ rank: 0, latestStart: 10 })).toBe(true);
    expect(line.hasBefore({ rank: 0, latestStart: 90 })).toBe(false);
  });

  // Guards against a call that is woken after its end.
  it('are not woken after they have left', () => {
    const { line, woken, add } = build();
    line.remove(add('gone', 0, 10));
    line.wake(5);
    expect([woken, line.size()]).toEqual([[], 0]);
  });
});
