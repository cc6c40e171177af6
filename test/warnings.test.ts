import { readFileSync } from 'node:fs';
import { join } from 'node:path';

import { type ConfigurationState, ManualClock, parseSheet, SeededRandom, SilentSink } from '../src';
import {
  CONDITION_NAMES,
  CONDITIONS,
  type Observation,
  WARNING_EVENTS,
  WarningBoard,
} from '../src/warnings';

import { recordedEvents, recordOf } from './fleet/configurationFakes';

const HOSTS = ['host-1', 'host-2', 'host-3'];
const EXAMPLE = readFileSync(join(__dirname, '..', 'examples', 'saryarka.csv'), 'utf8');
const HOUR_S = 3600;
const { raised: RAISED, cleared: CLEARED, continued: CONTINUED } = WARNING_EVENTS;

/** Three hosts that observe the same simulated fleet and evaluate it each second. */
function setUp() {
  const sheet = parseSheet(EXAMPLE).expect('the example is valid');
  const clock = new ManualClock();
  const { events, numbers } = recordedEvents();
  const world = {
    live: HOSTS,
    quorum: true,
    emptyZones: [] as string[],
    emptyService: '',
    record: recordOf(sheet, HOSTS),
    crashing: [] as Observation['crashingCalls'],
    service: 'up' as 'up' | 'down',
    configuration: {
      lastFreshAt: 0,
      publishedVersion: 1,
      highestVersion: 1,
      invalid: '',
      conflictingVersion: null,
    } as ConfigurationState,
  };
  const observe = (): Observation => ({
    record: world.record,
    sheet,
    liveHosts: world.live,
    hasQuorum: world.quorum,
    usableSlots: (service, zone) =>
      world.emptyZones.includes(zone) || service === world.emptyService ? 0 : 6,
    configuration: world.configuration,
    crashingCalls: world.crashing,
  });
  const metrics = new SilentSink();
  const boards = HOSTS.map((hostId) => ({
    hostId,
    board: new WarningBoard({ hostId, clock, events, metrics, observe }),
  }));
  const pass = (seconds: number, eachSecond = (_second: number) => {}) => {
    for (let second = 0; second < seconds; second += 1) {
      clock.advanceBy(1000);
      eachSecond(second);
      if (world.service === 'up') {
        world.configuration = { ...world.configuration, lastFreshAt: clock.now() };
      }
      const running = boards.filter(({ hostId }) => world.live.includes(hostId));
      running.forEach(({ board }) => board.evaluate());
    }
  };
  const open = () => boards.flatMap(({ board }) => board.open().map((each) => each.condition));
  return { clock, numbers, world, pass, open, boards };
}

// Guards against alerts for conditions that clear by themselves.
test('restarts, short capacity losses and a short outage of the service raise no warning', () => {
  const seed = 11;
  const random = new SeededRandom(seed);
  const { numbers, world, pass } = setUp();
  const ends = { host: 0, zone: 0, quorum: 0 };
  pass(4 * HOUR_S, (second) => {
    if (random.integer(100) === 0 && second > ends.host) {
      ends.host = second + 5 + random.integer(10);
      world.live = HOSTS.filter((host) => host !== HOSTS[random.integer(3)]);
    }
    if (random.integer(100) === 0 && second > ends.zone + 1) {
      ends.zone = second + random.integer(25);
      world.emptyZones = [['arqa', 'burabay', 'ulytau'][random.integer(3)]!];
    }
    if (random.integer(500) === 0 && second > ends.quorum + 1) {
      ends.quorum = second + random.integer(20);
      world.quorum = false;
    }
    if (second > ends.host) world.live = HOSTS;
    if (second > ends.zone) world.emptyZones = [];
    if (second > ends.quorum) world.quorum = true;
    world.service = second > HOUR_S && second < 1.4 * HOUR_S ? 'down' : 'up';
    const loaded = second > 2 * HOUR_S && second < 2.4 * HOUR_S;
    world.record = { ...world.record, sheetVersion: loaded ? 2 : 1 };
  });
  expect({ seed, numbers }).toEqual({ seed, numbers: [] });
});

// Guards against duplicate warnings: one per host, one per service, or another after a failover.
test('a zone without capacity gives exactly one warning for the fleet', () => {
  const { numbers, world, pass, open } = setUp();
  world.emptyZones = ['arqa'];
  pass(29);
  expect(open()).toEqual([]);
  pass(300);
  expect(open()).toEqual(['zone-without-capacity']);
  expect(numbers).toEqual([RAISED.number]);
  world.live = ['host-2', 'host-3'];
  pass(60);
  expect(open().length).toBeGreaterThan(0);
  expect(numbers).toEqual([RAISED.number, CONTINUED.number]);
  world.emptyZones = [];
  pass(2);
  expect(numbers).toEqual([RAISED.number, CONTINUED.number, CLEARED.number]);
});

// Guards against a warning about a zone that operators took out of service.
test('a zone out of service needs no capacity', () => {
  const { numbers, world, pass } = setUp();
  world.emptyZones = ['arqa'];
  world.record = { ...world.record, zonesOut: ['arqa'] };
  pass(600);
  expect(numbers).toEqual([]);
});

// Guards against a persistent condition without a warning, and against a warning that stays open.
test('each persistent condition raises its warning and clears it', () => {
  const { numbers, world, pass, open } = setUp();
  const normal = { ...world, configuration: { ...world.configuration } };
  const cases: [Partial<typeof world>, string, number][] = [
    [{ emptyService: 'booking' }, 'service-without-capacity', 30],
    [{ quorum: false }, 'quorum-lost', 60],
    [{ service: 'down' }, 'configuration-stale', 30 * 60],
    [{ record: { ...world.record, sheetVersion: 2 } }, 'sheet-not-published', 30 * 60],
    [{ crashing: [{ fingerprint: 'f', detail: 'x' }] }, 'call-crashes-targets', 0],
    [{ configuration: { ...world.configuration, invalid: 'row 1' } }, 'sheet-invalid', 0],
    [{ configuration: { ...world.configuration, conflictingVersion: 1 } }, 'version-conflict', 0],
  ];
  for (const [change, condition, holdSeconds] of cases) {
    Object.assign(world, change);
    if (holdSeconds > 0) pass(holdSeconds - 1);
    expect(open()).toEqual([]);
    pass(3);
    expect(open()).toEqual([condition]);
    Object.assign(world, normal);
    pass(2);
    expect(open()).toEqual([]);
  }
  const pairs = cases.flatMap(() => [RAISED.number, CLEARED.number]);
  expect(numbers).toEqual(pairs);
});

// Guards against a paused host that counts its own pause as part of the hold time.
test('hold times restart after a pause', () => {
  const { clock, numbers, world, pass } = setUp();
  world.quorum = false;
  pass(2);
  clock.advanceBy(300_000);
  pass(5);
  world.quorum = true;
  pass(5);
  expect(numbers).toEqual([]);
});

// Guards against a warning without documentation for operators.
test('docs/operating.md has a section with meaning and action for each condition', () => {
  const page = readFileSync(join(__dirname, '..', 'docs', 'operating.md'), 'utf8');
  const text = page.replace(/\s+/g, ' ');
  for (const name of CONDITION_NAMES) {
    const { meaning, action, clearedBy } = CONDITIONS[name];
    for (const part of [`### ${name} `, meaning, action, clearedBy]) expect(text).toContain(part);
  }
});
