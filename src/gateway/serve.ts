import { once } from 'node:events';

import { type Agent } from 'undici';

import { type ReplicatedFleet } from '../fleet';
import { type Clock, waitUntil } from '../runtime';

import { GATEWAY_EVENTS } from './events';
import { type RunningGateway } from './runningGateway';
import { shutDown } from './shutDown';
import { type ShutdownSteps } from './shutdownPlan';
import { startOperators } from './startOperators';
import { startPlatformReaders, startConfigurationWatcher } from './startPlatformReaders';
import { startProbing } from './startProbing';
import { startWarnings } from './startWarnings';
import { type StopSignals } from './stopSignals';

const READY_POLL_INTERVAL_MS = 50;
// A host without a majority cannot leave the fleet; the others remove it when it stops responding.
const LEAVE_TIMEOUT_MS = 5000;

async function waitUntilReady(
  fleet: ReplicatedFleet,
  clock: Clock,
  signal: AbortSignal,
): Promise<boolean> {
  while (!fleet.isReady() && !signal.aborted) {
    await waitUntil(clock, clock.now() + READY_POLL_INTERVAL_MS, signal);
  }
  return fleet.isReady();
}

async function stop(running: RunningGateway, forceSignal: AbortSignal): Promise<void> {
  const { clock, events, fleet, gateway, lifecycle, settings } = running;
  const now = clock.now();
  const deadlines = {
    noticeUntil: now + settings['notice-period'],
    stopBy: now + settings['stop-limit'],
  };
  const steps: ShutdownSteps = {
    markNotReady: () => events.emit(GATEWAY_EVENTS.stopping),
    leaveFleet: (deadline) => fleet.leave(Math.min(deadline, now + LEAVE_TIMEOUT_MS)),
    closeConnectionsWithAnswers: () => gateway.closeConnectionsWithAnswers(),
    stopAccepting: () => gateway.stopAccepting(),
    callsInFlight: () => gateway.callsInFlight(),
    closeResources: async () => {
      // Calls still in flight here have exceeded the stop limit; closing would wait for them.
      if (gateway.callsInFlight() > 0) gateway.dropConnections();
      await gateway.close();
      await lifecycle.close();
    },
  };
  const { interruptedCalls } = await shutDown(steps, deadlines, clock, forceSignal);
  if (interruptedCalls > 0) events.emit(GATEWAY_EVENTS.callsInterrupted, { interruptedCalls });
}

/** Starts the remaining components and serves until stopped; returns the exit code. */
export async function serve(
  running: RunningGateway,
  dispatcher: Agent,
  signals: StopSignals,
): Promise<number> {
  const { clock, events, fleet } = running;
  const watcher = startPlatformReaders(running, dispatcher);
  startProbing(running);
  const board = startWarnings(running, watcher);
  const { first, second } = signals;
  await startOperators(running, watcher, board, first);
  if (await waitUntilReady(fleet, clock, first)) {
    startConfigurationWatcher(watcher, running);
    events.emit(GATEWAY_EVENTS.ready, { epoch: fleet.view()?.record.epoch });
  }
  if (!first.aborted) await once(first, 'abort');
  await stop(running, second);
  return 0;
}
