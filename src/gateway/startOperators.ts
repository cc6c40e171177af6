import { type Result } from 'ts-results';

import { type ConfigurationWatcher } from '../fleet';
import { operatorServer, type StatusSource } from '../operators';
import { type WarningBoard } from '../warnings';

import { describeTargets } from './describeTargets';
import { listen, type ListenError } from './listen';
import { type RunningGateway } from './runningGateway';
import { VERSION } from './version';

/** Opens the operators' port; the error is that of the last attempt before a stop. */
export function startOperators(
  running: RunningGateway,
  watcher: ConfigurationWatcher,
  board: WarningBoard,
  stopSignal: AbortSignal,
): Promise<Result<number, ListenError>> {
  const { clock, events, fleet, gateway, lifecycle, settings } = running;
  const status: StatusSource = {
    callsInFlight: () => gateway.callsInFlight(),
    targets: () => describeTargets(fleet.view(), gateway.router, clock.now()),
    publishedVersion: () => watcher.state().publishedVersion,
    openWarnings: () => board.open(),
  };
  const server = operatorServer({
    hostId: settings['host-id'],
    software: VERSION,
    token: settings['operator-token'],
    clock,
    events,
    fleet,
    status,
    isStopping: () => stopSignal.aborted,
  });
  const wait = { clock, events, signal: stopSignal };
  return listen(server, settings.address, settings['operator-port'], lifecycle, wait);
}
