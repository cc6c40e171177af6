import { shutDown } from '../src/gateway/shutDown';
import { type ShutdownSteps } from '../src/gateway/shutdownPlan';
import { ManualClock } from '../src/runtime';

const DEADLINES = { noticeUntil: 5000, stopBy: 60_000 };

function recordSteps(calls: { inFlight: number }) {
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

/** Runs all pending promise callbacks, advances the clock and runs them again. */
async function advance(clock: ManualClock, to: number): Promise<void> {
  for (let round = 0; round < 20; round += 1) await Promise.resolve();
  clock.advanceTo(to);
  for (let round = 0; round < 20; round += 1) await Promise.resolve();
}

// Guards against closing the listener before the balancer has noticed the failing /readyz, and
// against closing resources while calls are in flight.
test('accepts calls during the notice period and completes them before closing', async () => {
  const clock = new ManualClock();
  const calls = { inFlight: 1 };
  const { done, steps } = recordSteps(calls);
  const report = shutDown(steps, DEADLINES, clock, new AbortController().signal);
  await advance(clock, 4999);
  expect(done).toEqual(['not ready', 'closing', 'left']);
  await advance(clock, 5000);
  expect(done).toContain('not accepting');
  await advance(clock, 20_000);
  expect(done).not.toContain('closed');
  calls.inFlight = 0;
  await advance(clock, 20_100);
  expect(await report).toEqual({ interruptedCalls: 0, hasEndedEarly: false });
  expect(done.at(-1)).toBe('closed');
  // A timer left pending keeps the stopped process alive until the stop deadline.
  expect(clock.pendingTimers()).toBe(0);
});

// Guards against a call that never ends blocking the shutdown.
test('ends at the stop deadline and reports the interrupted calls', async () => {
  const clock = new ManualClock();
  const { done, steps } = recordSteps({ inFlight: 3 });
  const report = shutDown(steps, DEADLINES, clock, new AbortController().signal);
  for (let time = 5000; time <= 60_000; time += 20) await advance(clock, time);
  expect(await report).toEqual({ interruptedCalls: 3, hasEndedEarly: true });
  expect(done.at(-1)).toBe('closed');
});

// Guards against a waiting shutdown that an operator cannot end.
test('a second signal ends all waiting', async () => {
  const clock = new ManualClock();
  const { steps } = recordSteps({ inFlight: 2 });
  const force = new AbortController();
  const report = shutDown(steps, DEADLINES, clock, force.signal);
  await advance(clock, 100);
  force.abort();
  expect(await report).toEqual({ interruptedCalls: 2, hasEndedEarly: true });
});
