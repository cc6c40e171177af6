import { type Clock, waitUntil } from '../runtime';

import { type ShutdownDeadlines, type ShutdownReport, type ShutdownSteps } from './shutdownPlan';

const POLL_INTERVAL_MS = 20;

async function waitForCalls(
  steps: ShutdownSteps,
  clock: Clock,
  stopBy: number,
  urgent: AbortSignal,
): Promise<void> {
  while (steps.callsInFlight() > 0 && clock.now() < stopBy && !urgent.aborted) {
    await waitUntil(clock, Math.min(stopBy, clock.now() + POLL_INTERVAL_MS), urgent);
  }
}

/**
 * Stops a gateway without interrupting a call: not ready first, targets handed over, calls
 * accepted until the notice period ends, calls in flight finished, resources closed.
 * `urgent` is aborted by a second signal and ends all waiting.
 */
export async function shutDown(
  steps: ShutdownSteps,
  deadlines: ShutdownDeadlines,
  clock: Clock,
  urgent: AbortSignal,
): Promise<ShutdownReport> {
  const { noticeUntil, stopBy } = deadlines;
  steps.markNotReady();
  steps.closeConnectionsWithAnswers();
  const handedOver = steps.leaveFleet(stopBy);
  await waitUntil(clock, Math.min(noticeUntil, stopBy), urgent);
  // The handover has its own deadline; a failure to leave must not keep the process alive.
  await Promise.race([handedOver.catch(() => {}), waitUntil(clock, stopBy, urgent)]);
  steps.stopAccepting();
  await waitForCalls(steps, clock, stopBy, urgent);
  const interruptedCalls = steps.callsInFlight();
  await steps.closeResources();
  return { interruptedCalls, cutShort: urgent.aborted || interruptedCalls > 0 };
}
