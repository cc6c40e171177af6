import { type Agent } from 'undici';

import { ConfigurationWatcher, HostListPoller } from '../fleet';
import { readConfiguration, readHostList } from '../published';

import { startTask } from './startTask';
import { type RunningGateway } from './runningGateway';

function createConfigurationWatcher(
  running: RunningGateway,
  dispatcher: Agent,
): ConfigurationWatcher {
  const { fleet, lifecycle, settings } = running;
  const url = settings['configuration-url'];
  const watcher = new ConfigurationWatcher({
    ...running,
    hostId: settings['host-id'],
    read: (after, waitSeconds, signal) =>
      readConfiguration({ url, after, waitSeconds, dispatcher, signal }),
    record: () => fleet.view()?.record ?? null,
    propose: (sheet) => fleet.publish(sheet),
  });
  const unsubscribe = fleet.onChange(() => watcher.recordChanged());
  lifecycle.own('configuration listener', unsubscribe);
  return watcher;
}

/** Starts the configuration watcher; requires a ready host, since others cannot propose sheets. */
export function startConfigurationWatcher(
  watcher: ConfigurationWatcher,
  { lifecycle }: RunningGateway,
): void {
  startTask('configuration watcher', watcher, lifecycle);
}

/** Starts polling the host list and creates the configuration watcher without starting it. */
export function startPlatformReaders(
  running: RunningGateway,
  dispatcher: Agent,
): ConfigurationWatcher {
  const { fleet, gateway, lifecycle, settings } = running;
  const poller = new HostListPoller({
    ...running,
    read: (entityTag, signal) =>
      readHostList(settings['host-list-url'], entityTag, dispatcher, signal),
    hostCount: () => fleet.view()?.sheet.hosts.size ?? 1,
    onChange: (states) => gateway.router.applyHostList(states),
  });
  startTask('host list poller', poller, lifecycle);
  return createConfigurationWatcher(running, dispatcher);
}
