import { shutDown } from '../src/gateway/shutDown';
import { type ShutdownSteps } from '../src/gateway/shutdownPlan';
import { ManualClock } from '../src/runtime';

const DEADLINES = { noticeUntil: 5000, stopBy: 60_000 };

function recordedSteps(calls: { inFlight: number }) {
  const done: string[] = [];
  const steps: ShutdownSteps = {
    markNotReady: () => done.push('not ready'),
    leaveFleet: () => {
      done.push('left');
      return Promise.resolve();
    },
    closeConnectionsWithAnswers: () => done.push('closing'),
    stopAccepting: () => done.push('not accepting'),
    callsInFlight: () => calls.inFlight,
    closeResources: () => {
      done.push('closed');
      return Promise.resolve();
    },
  };
  return { done, steps };
}

/** Lets all promise callbacks run, then moves the clock. */
async function advance(clock: ManualClock, to: number): Promise<void> {
  for (let round = 0; round < 20; round += 1) await Promise.resolve();
  clock.advanceTo(to);
  for (let round = 0; round < 20; round += 1) await Promise.resolve();
}

// Guards against a listener that closes before the balancer has seen the notice, and against
// resources closed under a running call.
test('calls are accepted during the notice period and finished before the end', async () => {
  const clock = new ManualClock();
  const calls = { inFlight: 1 };
  const { done, steps } = recordedSteps(calls);
  const report = shutDown(steps, DEADLINES, clock, new AbortController().signal);
  await advance(clock, 4999);
  expect(done).toEqual(['not ready', 'closing', 'left']);
  await advance(clock, 5000);
  expect(done).toContain('not accepting');
  await advance(clock, 20_000);
  expect(done).not.toContain('closed');
  calls.inFlight = 0;
  await advance(clock, 20_100);
  expect(await report).toEqual({ interruptedCalls: 0, cutShort: false });
  expect(done.at(-1)).toBe('closed');
  // A timer left behind kept stopped processes alive until the stop deadline.
  expect(clock.pendingTimers()).toBe(0);
});

// Guards against a shutdown that one endless call keeps from ending.
test('the stop deadline ends the shutdown and reports what it interrupted', async () => {
  const clock = new ManualClock();
  const { done, steps } = recordedSteps({ inFlight: 3 });
  const report = shutDown(steps, DEADLINES, clock, new AbortController().signal);
  for (let time = 5000; time <= 60_000; time += 20) await advance(clock, time);
  expect(await report).toEqual({ interruptedCalls: 3, cutShort: true });
  expect(done.at(-1)).toBe('closed');
});

// Guards against an operator who cannot end a waiting process.
test('a second signal ends the waiting', async () => {
  const clock = new ManualClock();
  const { steps } = recordedSteps({ inFlight: 2 });
  const urgent = new AbortController();
  const report = shutDown(steps, DEADLINES, clock, urgent.signal);
  await advance(clock, 100);
  urgent.abort();
  expect(await report).toEqual({ interruptedCalls: 2, cutShort: true });
});
