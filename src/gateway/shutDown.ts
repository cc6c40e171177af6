import { type Clock, waitUntil } from '../runtime';

import { type ShutdownDeadlines, type ShutdownReport, type ShutdownSteps } from './shutdownPlan';

const POLL_INTERVAL_MS = 20;

async function waitForCalls(
  steps: ShutdownSteps,
  clock: Clock,
  stopBy: number,
  forceSignal: AbortSignal,
): Promise<void> {
  while (steps.callsInFlight() > 0 && clock.now() < stopBy && !forceSignal.aborted) {
    await waitUntil(clock, Math.min(stopBy, clock.now() + POLL_INTERVAL_MS), forceSignal);
  }
}

/** Waits for the handover until `stopBy`, so that a failed handover cannot block the process. */
async function waitForHandover(
  handover: Promise<void>,
  clock: Clock,
  stopBy: number,
  forceSignal: AbortSignal,
): Promise<void> {
  const handoverEnded = new AbortController();
  const signal = AbortSignal.any([handoverEnded.signal, forceSignal]);
  await Promise.race([handover, waitUntil(clock, stopBy, signal)]);
  // A timer left pending would keep the process alive until the stop deadline.
  handoverEnded.abort();
}

/**
 * Stops a gateway without interrupting a call: reports it as not ready, hands over its targets,
 * accepts calls until the notice period ends, drains calls in flight, and closes all resources.
 * `forceSignal` is aborted by a second stop signal and ends all waiting.
 */
export async function shutDown(
  steps: ShutdownSteps,
  deadlines: ShutdownDeadlines,
  clock: Clock,
  forceSignal: AbortSignal,
): Promise<ShutdownReport> {
  const { noticeUntil, stopBy } = deadlines;
  steps.markNotReady();
  steps.closeConnectionsWithAnswers();
  const handover = steps.leaveFleet(stopBy).catch(() => {});
  await waitUntil(clock, Math.min(noticeUntil, stopBy), forceSignal);
  await waitForHandover(handover, clock, stopBy, forceSignal);
  steps.stopAccepting();
  await waitForCalls(steps, clock, stopBy, forceSignal);
  const interruptedCalls = steps.callsInFlight();
  await steps.closeResources();
  return { interruptedCalls, hasEndedEarly: forceSignal.aborted || interruptedCalls > 0 };
}
