import { type Agent } from 'undici';

import { ConfigurationWatcher, HostListPoller } from '../fleet';
import { readConfiguration, readHostList } from '../published';

import { ownTask } from './ownTask';
import { type Running } from './running';

function makeWatcher(running: Running, dispatcher: Agent): ConfigurationWatcher {
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
  const forget = fleet.onChange(() => watcher.recordChanged());
  lifecycle.own('configuration listener', forget);
  return watcher;
}

/** Starts to watch the configuration service; a host that is not ready cannot propose sheets. */
export function startWatching(watcher: ConfigurationWatcher, { lifecycle }: Running): void {
  ownTask('configuration watcher', watcher, lifecycle);
}

/** Starts to poll the host list, and makes the watcher of the configuration service. */
export function startPlatformReaders(running: Running, dispatcher: Agent): ConfigurationWatcher {
  const { fleet, gateway, lifecycle, settings } = running;
  const poller = new HostListPoller({
    ...running,
    read: (entityTag, signal) =>
      readHostList(settings['host-list-url'], entityTag, dispatcher, signal),
    hostCount: () => fleet.view()?.sheet.hosts.size ?? 1,
    onChange: (states) => gateway.router.applyHostList(states),
  });
  ownTask('host list poller', poller, lifecycle);
  return makeWatcher(running, dispatcher);
}
