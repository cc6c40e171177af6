import { type ConfigurationWatcher } from '../fleet';
import { runEvery } from '../runtime';
import { type Observation, WarningBoard } from '../warnings';

import { type RunningGateway } from './runningGateway';

const EVALUATION_INTERVAL_MS = 1000;

function observe({ fleet, gateway }: RunningGateway, watcher: ConfigurationWatcher): Observation {
  const view = fleet.view();
  return {
    record: view?.record ?? null,
    sheet: view?.sheet ?? null,
    liveHosts: fleet.liveHosts(),
    hasQuorum: gateway.router.viewIsCurrent(),
    usableSlots: (service, zone) => gateway.router.usableSlots(service, zone),
    configuration: watcher.state(),
    crashingCalls: gateway.suspects.refusedCalls().map((refusedCall) => ({
      fingerprint: refusedCall.fingerprint,
      detail: `${refusedCall.service} ${refusedCall.method} ${refusedCall.path}`,
    })),
  };
}

/** Starts evaluating the warning conditions once a second. */
export function startWarnings(
  running: RunningGateway,
  watcher: ConfigurationWatcher,
): WarningBoard {
  const { clock, lifecycle, settings } = running;
  const hostId = settings['host-id'];
  const board = new WarningBoard({ ...running, hostId, observe: () => observe(running, watcher) });
  lifecycle.own(
    'warnings',
    runEvery(clock, EVALUATION_INTERVAL_MS, () => board.evaluate()),
  );
  return board;
}
