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

/** A watcher of `hostId` on a service that answers with `published`; watches end after 25 s. */
function setUp(hostId: string, first = sheetOf(1)) {
  const clock = new ManualClock();
  const { events, numbers } = recordedEvents();
  const world = {
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
    world.reads.push(after);
    if (world.down) return Err({ kind: 'unreachable', detail: 'down' });
    if (after === null) return Ok({ text: world.published });
    const until = clock.now() + waitSeconds * 1000;
    while (clock.now() < until && !signal.aborted) {
      const version = Number(world.published.split('\n')[2]?.split(',')[0]);
      if (version > after) return Ok({ text: world.published });
      await settle();
    }
    return Ok(null);
  };
  const propose = async (sheet: Sheet): Promise<Result<Acceptance, Rejection>> => {
    world.proposed.push(sheet.version);
    if (world.answer !== null) return Err(world.answer);
    world.inForce = sheet;
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
    record: () => (world.inForce === null ? null : recordOf(world.inForce, MEMBERS)),
  });
  const running = watcher.run();
  const end = async () => {
    watcher.stop();
    await advance(clock, 1);
    await running;
  };
  return { clock, numbers, world, watcher, end };
}

// Guards against a fleet that reads the service all at once, or learns of a sheet late.
test('two members watch, the others read at start and every half minute', async () => {
  const watcher = setUp(ORDER[1]!);
  const reader = setUp(ORDER[2]!);
  await advance(watcher.clock, 5000);
  await advance(reader.clock, 5000);
  expect([watcher.world.reads, reader.world.reads]).toEqual([[null, 1], [null]]);
  watcher.world.published = sheetOf(2).text;
  reader.world.published = sheetOf(2).text;
  await advance(watcher.clock, 500);
  await advance(reader.clock, 500);
  expect([watcher.world.proposed, reader.world.proposed]).toEqual([[2], []]);
  await advance(reader.clock, 40_000);
  expect(reader.world.proposed).toEqual([2]);
  await advance(reader.clock, 600_000);
  expect(reader.world.reads.length).toBeGreaterThan(15);
  expect(reader.world.reads.length).toBeLessThan(32);
  await watcher.end();
  await reader.end();
});

// Guards against a service that is down being read in a tight loop, or not read again.
test('a service that is down is read with growing pauses and noticed once', async () => {
  const { clock, numbers, world, watcher, end } = setUp(ORDER[0]!);
  world.down = true;
  await advance(clock, 300_000);
  expect(world.reads.length).toBeGreaterThan(10);
  expect(world.reads.length).toBeLessThan(30);
  expect(watcher.state().lastFreshAt).toBe(0);
  world.down = false;
  world.published = sheetOf(2).text;
  await advance(clock, 31_000);
  expect(world.proposed).toEqual([2]);
  expect(numbers).toEqual([
    EVENTS.readFailed.number,
    EVENTS.readAgain.number,
    EVENTS.sheetProposed.number,
  ]);
  await end();
});

// Guards against a stale service that turns the configuration back.
test('an older version after a newer one is ignored', async () => {
  const { clock, numbers, world, watcher, end } = setUp(ORDER[2]!, sheetOf(5));
  await advance(clock, 1);
  world.published = sheetOf(4).text;
  await advance(clock, 120_000);
  expect(world.proposed).toEqual([5]);
  expect(watcher.state()).toMatchObject({ publishedVersion: 4, highestVersion: 5, lastFreshAt: 0 });
  expect(numbers.filter((number) => number === EVENTS.olderPublished.number)).toHaveLength(1);
  world.inForce = sheetOf(9);
  world.published = sheetOf(8).text;
  await advance(clock, 60_000);
  expect(world.proposed).toEqual([5]);
  await end();
});

// Guards against an older sheet that comes into force because a newer one was not accepted yet.
test('an older version is ignored also while the newer one waits for a quorum', async () => {
  const { clock, world, end } = setUp(ORDER[2]!, sheetOf(5));
  world.answer = { kind: 'no-quorum', detail: 'none' };
  await advance(clock, 500);
  world.answer = null;
  world.published = sheetOf(4).text;
  await advance(clock, 120_000);
  expect(world.proposed).toEqual([5]);
  world.published = sheetOf(5).text;
  await advance(clock, 40_000);
  expect(world.inForce?.version).toBe(5);
  await end();
});

// Guards against an invalid sheet that comes into force or is reported with each read.
test('an invalid sheet is noticed once and leaves the old one in force', async () => {
  const { clock, numbers, world, watcher, end } = setUp(ORDER[0]!);
  world.published = sheetOf(2).text.replace('127.0.0.1', 'nowhere');
  await advance(clock, 120_000);
  expect(world.proposed).toEqual([]);
  expect(watcher.state().invalid).toContain('hosts.address');
  expect(numbers).toEqual([EVENTS.sheetInvalid.number]);
  world.published = sheetOf(2).text;
  await advance(clock, 60_000);
  expect(world.proposed).toEqual([2]);
  expect(watcher.state().invalid).toBe('');
  await end();
});

// Guards against two contents under one version, of which each host would take another.
test.each([ORDER[0]!, ORDER[3]!])('one version with two contents, at %s', async (hostId) => {
  const { clock, numbers, world, watcher, end } = setUp(hostId);
  await advance(clock, 1);
  for (let turn = 0; turn < 3; turn += 1) {
    world.published = sheetOf(1, 2).text;
    await advance(clock, 60_000);
    expect(watcher.state().conflictingVersion).toBe(1);
    world.published = sheetOf(1).text;
    await advance(clock, 60_000);
    expect(watcher.state().conflictingVersion).toBeNull();
  }
  expect(world.proposed).toEqual([]);
  expect(numbers).toEqual([EVENTS.versionConflict.number]);
  await end();
});

// Guards against a sheet that is lost because the fleet could not accept it at once.
test('a proposal that fails is made again', async () => {
  const { clock, world, end } = setUp(ORDER[0]!);
  world.answer = { kind: 'no-quorum', detail: 'none' };
  world.published = sheetOf(2).text;
  await advance(clock, 20_000);
  expect(world.proposed.length).toBeGreaterThan(2);
  world.answer = null;
  await advance(clock, 31_000);
  expect(world.inForce?.version).toBe(2);
  const made = world.proposed.length;
  await advance(clock, 60_000);
  expect(world.proposed).toHaveLength(made);
  await end();
});

// Guards against a new watcher that sleeps out the pause of a reader.
test('a host that becomes a watcher starts without delay', async () => {
  const { clock, world, watcher, end } = setUp(ORDER[0]!);
  world.inForce = null;
  world.answer = { kind: 'conflict', detail: 'another sheet came first' };
  await advance(clock, 1000);
  expect(world.reads).toEqual([null]);
  world.inForce = sheetOf(1);
  watcher.recordChanged();
  await advance(clock, 500);
  expect(world.reads).toEqual([null, 1]);
  await end();
});
