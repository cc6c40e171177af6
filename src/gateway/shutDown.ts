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

/** Waits for the handover; a host that cannot leave must not keep its process alive. */
async function waitForHandover(
  handedOver: Promise<void>,
  clock: Clock,
  stopBy: number,
  urgent: AbortSignal,
): Promise<void> {
  const ended = new AbortController();
  const signal = AbortSignal.any([ended.signal, urgent]);
  await Promise.race([handedOver, waitUntil(clock, stopBy, signal)]);
  // A timer that is left behind would keep the process alive until the stop deadline.
  ended.abort();
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
  const handedOver = steps.leaveFleet(stopBy).catch(() => {});
  await waitUntil(clock, Math.min(noticeUntil, stopBy), urgent);
  await waitForHandover(handedOver, clock, stopBy, urgent);
  steps.stopAccepting();
  await waitForCalls(steps, clock, stopBy, urgent);
  const interruptedCalls = steps.callsInFlight();
  await steps.closeResources();
  return { interruptedCalls, cutShort: urgent.aborted || interruptedCalls > 0 };
}
