import { type ConfigurationWatcher } from '../fleet';
import { runEvery } from '../runtime';
import { type Observation, WarningBoard } from '../warnings';

import { type Running } from './running';

const EVALUATION_INTERVAL_MS = 1000;

function observe({ fleet, gateway }: Running, watcher: ConfigurationWatcher): Observation {
  const view = fleet.view();
  return {
    record: view?.record ?? null,
    sheet: view?.sheet ?? null,
    liveHosts: fleet.liveHosts(),
    hasQuorum: gateway.router.viewIsCurrent(),
    usableSlots: (service, zone) => gateway.router.usableSlots(service, zone),
    configuration: watcher.state(),
    crashingCalls: gateway.suspects.refused().map((death) => ({
      fingerprint: death.fingerprint,
      detail: `${death.service} ${death.method} ${death.path}`,
    })),
  };
}

/** Evaluates the warning conditions every second. */
export function startWarnings(running: Running, watcher: ConfigurationWatcher): WarningBoard {
  const { clock, lifecycle, settings } = running;
  const hostId = settings['host-id'];
  const board = new WarningBoard({ ...running, hostId, observe: () => observe(running, watcher) });
  lifecycle.own(
    'warnings',
    runEvery(clock, EVALUATION_INTERVAL_MS, () => board.evaluate()),
  );
  return board;
}
