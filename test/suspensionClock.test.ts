import { ManualClock, SuspensionClock } from '../src/runtime';

describe('a clock that includes suspensions', () => {
  let monotonic: ManualClock;
  let times: { timeOfDay: number; sinceBoot: number };
  let clock: SuspensionClock;

  /** Lets time pass while the time since boot runs at another rate. */
  function run(milliseconds: number, bootRate = 1): void {
    for (let passed = 0; passed < milliseconds; passed += 50) {
      monotonic.advanceTo(monotonic.now() + 50);
      times.timeOfDay += 50;
      times.sinceBoot += 50 * bootRate;
      clock.now();
    }
  }

  beforeEach(() => {
    monotonic = new ManualClock();
    times = { timeOfDay: 1e12, sinceBoot: 1e6 };
    clock = new SuspensionClock(monotonic, {
      timeOfDay: () => times.timeOfDay,
      sinceBoot: () => times.sinceBoot,
    });
    run(5000);
  });

  // Guards against proofs that always look too old where the time since boot is that of another clock, so
  // that each host reads the store again and again.
  it('does not use a time since boot that runs faster than the other clocks', () => {
    run(2000, 8);
    const moment = clock.now();
    run(1000, 8);
    expect(clock.elapsedSince(moment)).toBe(1000);
    expect(clock.isSinceBootUsed()).toBe(false);
  });

  // Guards against a suspension that a step of the time of day hides from a clock without time since boot.
  it.each([-3000, 3000])('does not trust moments before a step of %d ms then', (stepMs) => {
    run(2000, 8);
    const moment = clock.now();
    times.timeOfDay += stepMs;
    run(100, 8);
    expect(clock.elapsedSince(moment)).toBe(Infinity);
  });

  // Guards against a suspension that is not counted because the time of day steps back meanwhile.
  it('counts suspensions by the time since boot', () => {
    const moment = clock.now();
    for (let count = 0; count < 10; count += 1) {
      times.timeOfDay += 100;
      times.sinceBoot += 2000;
      run(500);
    }
    expect(clock.elapsedSince(moment)).toBe(25_000);
    expect(clock.isSinceBootUsed()).toBe(true);
  });
});
