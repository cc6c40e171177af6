import { Ok } from 'ts-results';
import { Agent } from 'undici';

import {
  ConfigurationWatcher,
  readConfiguration,
  SeededRandom,
  type Sheet,
  SilentSink,
  SystemClock,
} from '../src';
import { PlatformStandin } from '../standins';

import { recordedEvents, recordOf, sheetOf } from './fleet/configurationFakes';

async function until(holds: () => boolean): Promise<void> {
  const limit = performance.now() + 10_000;
  while (!holds()) {
    if (performance.now() > limit) throw new Error('condition not met after 10 s');
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
}

// Guards against a watcher and a platform reader that match their fakes but not each other.
test('a watcher proposes a sheet from the configuration service and ends its watch', async () => {
  const platform = new PlatformStandin();
  platform.publish(sheetOf(1).text);
  const url = await platform.start();
  const dispatcher = new Agent();
  let inForce: Sheet = sheetOf(1);
  const watcher = new ConfigurationWatcher({
    hostId: 'host-1',
    clock: new SystemClock(),
    random: new SeededRandom(1),
    events: recordedEvents().events,
    metrics: new SilentSink(),
    read: (after, waitSeconds, signal) =>
      readConfiguration({ url, after, waitSeconds, dispatcher, signal }),
    record: () => recordOf(inForce, ['host-1']),
    propose: async (sheet) => {
      inForce = sheet;
      return Ok({ orderId: 'o', epoch: 2, unchanged: false });
    },
  });
  const running = watcher.run();
  try {
    await until(() => platform.readCount === 2);
    platform.publish(sheetOf(2).text);
    await until(() => inForce.version === 2);
    platform.mode = 'stale';
    await until(() => watcher.state().publishedVersion === 1);
    expect(inForce.version).toBe(2);
  } finally {
    watcher.stop();
    await running;
    await dispatcher.close();
    await platform.stop();
  }
});
