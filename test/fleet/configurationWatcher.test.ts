import { Err, Ok, type Result } from 'ts-results';

import {
  type Acceptance,
  CONFIGURATION_EVENTS as EVENTS,
  ConfigurationWatcher,
  ManualClock,
  type PlatformError,
  type PublishedConfiguration,
  type Rejection,
  rendezvousOrder,
  SeededRandom,
  type Sheet,
  SilentSink,
} from '../../src';

import { advance, recordedEvents, recordOf, settle, sheetOf } from './configurationFakes';

const MEMBERS = ['host-1', 'host-2', 'host-3', 'host-4'];
const ORDER = rendezvousOrder('configuration', MEMBERS);

type Answer = Result<PublishedConfiguration | null, PlatformError>;

/** A watcher on `hostId` of a fake service that serves `published`; watches end after 25 s. */
function setUp(hostId: string, first = sheetOf(1)) {
  const clock = new ManualClock();
  const { events, numbers } = recordedEvents();
  const service = {
    published: first.text,
    down: false,
    inForce: sheetOf(1) as Sheet | null,
    answer: null as Rejection | null,
    proposed: [] as number[],
    reads: [] as (number | null)[],
  };
  const read = async (
    after: number | null,
    waitSeconds: number,
    signal: AbortSignal,
  ): Promise<Answer> => {
    service.reads.push(after);
    if (service.down) return Err({ kind: 'unreachable', detail: 'down' });
    if (after === null) return Ok({ text: service.published });
    const until = clock.now() + waitSeconds * 1000;
    while (clock.now() < until && !signal.aborted) {
      const version = Number(service.published.split('\n')[2]?.split(',')[0]);
      if (version > after) return Ok({ text: service.published });
      await settle();
    }
    return Ok(null);
  };
  const propose = async (sheet: Sheet): Promise<Result<Acceptance, Rejection>> => {
    service.proposed.push(sheet.version);
    if (service.answer !== null) return Err(service.answer);
    service.inForce = sheet;
    return Ok({ orderId: 'o', epoch: 2, unchanged: false });
  };
  const watcher = new ConfigurationWatcher({
    hostId,
    clock,
    random: new SeededRandom(7),
    events,
    metrics: new SilentSink(),
    read,
    propose,
    record: () => (service.inForce === null ? null : recordOf(service.inForce, MEMBERS)),
  });
  const running = watcher.run();
  const end = async () => {
    watcher.stop();
    await advance(clock, 1);
    await running;
  };
  return { clock, numbers, service, watcher, end };
}

// Guards against all hosts reading the service at once, and against late discovery of a sheet.
test('two members watch, the others read at start and every half minute', async () => {
  const watcher = setUp(ORDER[1]!);
  const reader = setUp(ORDER[2]!);
  await advance(watcher.clock, 5000);
  await advance(reader.clock, 5000);
  expect([watcher.service.reads, reader.service.reads]).toEqual([[null, 1], [null]]);
  watcher.service.published = sheetOf(2).text;
  reader.service.published = sheetOf(2).text;
  await advance(watcher.clock, 500);
  await advance(reader.clock, 500);
  expect([watcher.service.proposed, reader.service.proposed]).toEqual([[2], []]);
  await advance(reader.clock, 40_000);
  expect(reader.service.proposed).toEqual([2]);
  await advance(reader.clock, 600_000);
  expect(reader.service.reads.length).toBeGreaterThan(15);
  expect(reader.service.reads.length).toBeLessThan(32);
  await watcher.end();
  await reader.end();
});

// Guards against reading an unreachable service in a tight loop, or never again.
test('an unreachable service is read with growing delays and logged once', async () => {
  const { clock, numbers, service, watcher, end } = setUp(ORDER[0]!);
  service.down = true;
  await advance(clock, 300_000);
  expect(service.reads.length).toBeGreaterThan(10);
  expect(service.reads.length).toBeLessThan(30);
  expect(watcher.state().lastFreshAt).toBe(0);
  service.down = false;
  service.published = sheetOf(2).text;
  await advance(clock, 31_000);
  expect(service.proposed).toEqual([2]);
  expect(numbers).toEqual([
    EVENTS.readFailed.number,
    EVENTS.readAgain.number,
    EVENTS.sheetProposed.number,
  ]);
  await end();
});

// Guards against a stale service that rolls the configuration back.
test('an older version after a newer one is ignored', async () => {
  const { clock, numbers, service, watcher, end } = setUp(ORDER[2]!, sheetOf(5));
  await advance(clock, 1);
  service.published = sheetOf(4).text;
  await advance(clock, 120_000);
  expect(service.proposed).toEqual([5]);
  expect(watcher.state()).toMatchObject({ publishedVersion: 4, highestVersion: 5, lastFreshAt: 0 });
  expect(numbers.filter((number) => number === EVENTS.olderPublished.number)).toHaveLength(1);
  service.inForce = sheetOf(9);
  service.published = sheetOf(8).text;
  await advance(clock, 60_000);
  expect(service.proposed).toEqual([5]);
  await end();
});

// Guards against an older sheet that takes effect because a newer one is not accepted yet.
test('an older version is ignored also while the newer one waits for a quorum', async () => {
  const { clock, service, end } = setUp(ORDER[2]!, sheetOf(5));
  service.answer = { kind: 'no-quorum', detail: 'none' };
  await advance(clock, 500);
  service.answer = null;
  service.published = sheetOf(4).text;
  await advance(clock, 120_000);
  expect(service.proposed).toEqual([5]);
  service.published = sheetOf(5).text;
  await advance(clock, 40_000);
  expect(service.inForce?.version).toBe(5);
  await end();
});

// Guards against an invalid sheet that takes effect or is logged on each read.
test('an invalid sheet is logged once and leaves the old one in force', async () => {
  const { clock, numbers, service, watcher, end } = setUp(ORDER[0]!);
  service.published = sheetOf(2).text.replace('127.0.0.1', 'nowhere');
  await advance(clock, 120_000);
  expect(service.proposed).toEqual([]);
  expect(watcher.state().invalid).toContain('hosts.address');
  expect(numbers).toEqual([EVENTS.sheetInvalid.number]);
  service.published = sheetOf(2).text;
  await advance(clock, 60_000);
  expect(service.proposed).toEqual([2]);
  expect(watcher.state().invalid).toBe('');
  await end();
});

// Guards against two contents under one version, of which hosts would adopt different ones.
test.each([ORDER[0]!, ORDER[3]!])('one version with two contents, at %s', async (hostId) => {
  const { clock, numbers, service, watcher, end } = setUp(hostId);
  await advance(clock, 1);
  for (let round = 0; round < 3; round += 1) {
    service.published = sheetOf(1, 2).text;
    await advance(clock, 60_000);
    expect(watcher.state().conflictingVersion).toBe(1);
    service.published = sheetOf(1).text;
    await advance(clock, 60_000);
    expect(watcher.state().conflictingVersion).toBeNull();
  }
  expect(service.proposed).toEqual([]);
  expect(numbers).toEqual([EVENTS.versionConflict.number]);
  await end();
});

// Guards against losing a sheet because the fleet could not accept it on the first attempt.
test('a failed proposal is retried', async () => {
  const { clock, service, end } = setUp(ORDER[0]!);
  service.answer = { kind: 'no-quorum', detail: 'none' };
  service.published = sheetOf(2).text;
  await advance(clock, 20_000);
  expect(service.proposed.length).toBeGreaterThan(2);
  service.answer = null;
  await advance(clock, 31_000);
  expect(service.inForce?.version).toBe(2);
  const made = service.proposed.length;
  await advance(clock, 60_000);
  expect(service.proposed).toHaveLength(made);
  await end();
});

// Guards against a new watcher that waits for the longer interval of a plain reader.
test('a host that becomes a watcher starts without delay', async () => {
  const { clock, service, watcher, end } = setUp(ORDER[0]!);
  service.inForce = null;
  service.answer = { kind: 'conflict', detail: 'another sheet came first' };
  await advance(clock, 1000);
  expect(service.reads).toEqual([null]);
  service.inForce = sheetOf(1);
  watcher.recordChanged();
  await advance(clock, 500);
  expect(service.reads).toEqual([null, 1]);
  await end();
});
