import { RunningClock } from './runningClock';

const GAP_MS = 300;

/** Stops the process without use of its processor, as a busy machine does. */
function standStill(milliseconds: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}

describe('the clock of the test process', () => {
  let clock: RunningClock;

  beforeEach(() => {
    clock = new RunningClock();
  });

  afterEach(() => clock.close());

  // Guards against time limits that pass while the process does not run.
  it('leaves out the time for which the process stood still', () => {
    const before = clock.now();
    standStill(GAP_MS);
    expect(clock.now() - before).toBeLessThan(GAP_MS / 2);
  });

  // Guards against bounds that a process which keeps itself busy, or waits in vain, meets.
  it('counts the time for which the process is busy, and for which it waits', async () => {
    const before = clock.now();
    const startedAt = performance.now();
    const { user, system } = process.cpuUsage();
    const usedMs = () => {
      const used = process.cpuUsage({ user, system });
      return (used.user + used.system) / 1000;
    };
    while (usedMs() < GAP_MS);
    // Several threads of the process may use more processor time together than has passed.
    const passedMs = performance.now() - startedAt;
    const busyMs = clock.now() - before;
    expect(busyMs).toBeGreaterThanOrEqual(Math.min(GAP_MS, passedMs) - 1);
    await new Promise<void>((resolve) => {
      clock.setTimer(clock.now() + GAP_MS, resolve);
    });
    expect(clock.now() - before).toBeGreaterThanOrEqual(busyMs + GAP_MS);
  });

  // Guards against timers that fire before their time by this clock.
  it('fires its timers by its own time', async () => {
    const dueAt = clock.now() + GAP_MS;
    const firedAt = new Promise<number>((resolve) => {
      clock.setTimer(dueAt, () => resolve(clock.now()));
    });
    standStill(2 * GAP_MS);
    expect(await firedAt).toBeGreaterThanOrEqual(dueAt);
  });
});
