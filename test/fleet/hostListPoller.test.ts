import { Err, Ok, type Result } from 'ts-results';

import {
  CONFIGURATION_EVENTS as EVENTS,
  type HostList,
  HostListPoller,
  type HostStates,
  ManualClock,
  type PlatformError,
  SeededRandom,
  SilentSink,
} from '../../src';

import { advance, recordedEvents } from './configurationFakes';

function setUp(hostCount: number) {
  const clock = new ManualClock();
  const { events, numbers } = recordedEvents();
  const tags: string[] = [];
  const lists: HostStates[] = [];
  const platform = { answer: Ok(null) as Result<HostList | null, PlatformError> };
  const poller = new HostListPoller({
    clock,
    random: new SeededRandom(3),
    events,
    metrics: new SilentSink(),
    hostCount: () => hostCount,
    read: async (tag) => {
      tags.push(tag);
      return platform.answer;
    },
    onChange: (states) => lists.push(states),
  });
  const running = poller.run();
  const end = async () => {
    poller.stop();
    await running;
  };
  return { clock, numbers, tags, lists, platform, end };
}

// Guards against more than 200 reads per second over all hosts.
test.each([
  [17, 10],
  [200, 10],
  [1000, 2],
])('%i hosts read %i times in ten seconds', async (hosts, reads) => {
  const { clock, tags, end } = setUp(hosts);
  await advance(clock, 10_000, 100);
  expect(tags).toHaveLength(reads);
  await end();
});

// Guards against a failing read that clears the known list or floods the log.
test('the last known list stays in use while the list cannot be read', async () => {
  const { clock, numbers, tags, lists, platform, end } = setUp(1);
  const states: HostStates = new Map([['t-1', 'leaving']]);
  platform.answer = Ok({ states, entityTag: '"1"' });
  await advance(clock, 1000);
  platform.answer = Ok(null);
  await advance(clock, 2000);
  platform.answer = Err({ kind: 'unreachable', detail: 'down' });
  await advance(clock, 3000);
  platform.answer = Ok(null);
  await advance(clock, 1000);
  expect(lists).toEqual([states]);
  expect(tags.slice(0, 2)).toEqual(['', '"1"']);
  expect(numbers).toEqual([EVENTS.hostListFailed.number, EVENTS.hostListAgain.number]);
  await end();
});
