import { type Fleet, type FleetView } from '../../src/fleet';
import { type ClaimRequest, KeyClaims, KeyTable, UNKNOWN_ANSWER } from '../../src/idempotency';
import { ManualClock, rendezvousChoice } from '../../src/runtime';
import { MemoryNetwork } from '../support/memoryTransport';

const TIME_LIMIT_MS = 1000;
const ANSWER = { status: 201, contentType: 'text/plain', body: Buffer.from('done'), whole: true };

class FakeFleet implements Fleet {
  private listener: ((view: FleetView) => void) | null = null;

  private current: FleetView | null = null;

  deadline = Number.POSITIVE_INFINITY;

  setMembers(epoch: number, members: readonly string[]): void {
    const services = new Map([['dockets', { time_limit_ms: TIME_LIMIT_MS }]]);
    this.current = { record: { epoch, members }, sheet: { services } } as unknown as FleetView;
    this.listener?.(this.current);
  }

  view(): FleetView | null {
    return this.current;
  }

  viewDeadline(): number {
    return this.deadline;
  }

  onChange(listener: (view: FleetView) => void): () => void {
    this.listener = listener;
    return () => {};
  }

  submit(): never {
    throw new Error('not used');
  }
}

interface TestHost {
  readonly id: string;
  readonly fleet: FakeFleet;
  readonly claims: KeyClaims;
}

const clock = new ManualClock();
let network: MemoryNetwork;
let hosts: Map<string, TestHost>;

function startHost(id: string): TestHost {
  const fleet = new FakeFleet();
  const parts = { hostId: id, fleet, clock, transport: network.transport(id) };
  const host = { id, fleet, claims: new KeyClaims(parts) };
  hosts.set(id, host);
  return host;
}

async function flushMicrotasks(): Promise<void> {
  for (let turn = 0; turn < 50; turn += 1) await Promise.resolve();
}

async function advanceTime(milliseconds: number): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 50) {
    clock.advanceBy(50);
    await flushMicrotasks();
  }
}

function setMembers(epoch: number, members: readonly string[], notified = members): void {
  for (const id of notified) hosts.get(id)!.fleet.setMembers(epoch, members);
}

function homeOf(key: string, members: readonly string[]): string {
  return rendezvousChoice(`dockets\u0000${key}`, members)!;
}

function keyWithHome(
  home: string,
  members: readonly string[],
  nextHome = home,
  nextMembers = members,
) {
  for (let index = 0; ; index += 1) {
    const key = `key-${index}`;
    if (homeOf(key, members) === home && homeOf(key, nextMembers) === nextHome) return key;
  }
}

function request(claimant: string, key: string, fingerprint = 'POST /dockets'): ClaimRequest {
  const deadline = clock.now() + TIME_LIMIT_MS;
  return { service: 'dockets', key, fingerprint, claimant, deadline };
}

async function claim(host: string, key: string, fingerprint?: string): Promise<string> {
  const pending = hosts.get(host)!.claims.client.claim(request(host, key, fingerprint));
  let kind: string | null = null;
  void pending.then((result) => {
    kind = result.kind;
  });
  for (let attempt = 0; kind === null && attempt < 100; attempt += 1) await advanceTime(50);
  return kind!;
}

const ALL_HOSTS = ['a', 'b', 'c'];

beforeEach(async () => {
  network = new MemoryNetwork();
  hosts = new Map();
  ALL_HOSTS.forEach(startHost);
  setMembers(1, ALL_HOSTS);
  await flushMicrotasks();
});

// Guards against two hosts running calls with the same key.
test('a key is granted to one call, and retries get its answer', async () => {
  const key = keyWithHome('c', ALL_HOSTS);
  expect(await claim('a', key)).toBe('granted');
  expect(await claim('b', key)).toBe('in-flight');
  expect(await claim('a', key)).toBe('in-flight');
  expect(await claim('b', key, 'POST /other')).toBe('mismatch');
  await hosts.get('a')!.claims.client.settle(request('a', key), ANSWER);
  const repeat = await hosts.get('b')!.claims.client.claim(request('b', key));
  expect(repeat).toEqual({ kind: 'ended', answer: ANSWER });
});

// Guards against a key that stays claimed although its call did not run.
test('a call that did not run releases its key', async () => {
  const key = keyWithHome('c', ALL_HOSTS);
  expect(await claim('a', key)).toBe('granted');
  await hosts.get('a')!.claims.client.settle(request('a', key), null);
  expect(await claim('b', key)).toBe('granted');
});

// Guards against a lost reply that blocks the key, and against releasing the claim of another host.
test('a claim whose reply was lost is released', async () => {
  const key = keyWithHome('c', ALL_HOSTS);
  network.lostReplies.add('claimKey');
  expect(await claim('a', key)).toBe('not-home');
  network.lostReplies.clear();
  expect(await claim('b', key)).toBe('in-flight');
  await advanceTime(500);
  expect(await claim('b', key)).toBe('granted');
  expect(await claim('a', key)).toBe('in-flight');
});

// Guards against a call that runs although the home of its key is unreachable.
test('no key is granted when its home is unreachable or past its view deadline', async () => {
  const key = keyWithHome('c', ALL_HOSTS);
  network.down.add('c');
  expect(await claim('a', key)).toBe('not-home');
  network.down.clear();
  hosts.get('c')!.fleet.deadline = 0;
  await advanceTime(6000);
  expect(await claim('a', key)).toBe('not-home');
});

// Guards against a new home that does not know of calls granted by the old one.
test('a new home receives running and ended claims in reports', async () => {
  const running = keyWithHome('c', ALL_HOSTS, 'b', ['a', 'b']);
  const other = Array.from({ length: 1000 }, (_none, index) => `other-${index}`).find(
    (key) => homeOf(key, ALL_HOSTS) === 'c' && homeOf(key, ['a', 'b']) === 'b',
  )!;
  expect(await claim('a', running)).toBe('granted');
  expect(await claim('a', other)).toBe('granted');
  await hosts.get('a')!.claims.client.settle(request('a', other), ANSWER);
  setMembers(2, ['a', 'b'], ['a', 'b', 'c']);
  await flushMicrotasks();
  expect(await claim('b', running)).toBe('in-flight');
  expect(await claim('b', other)).toBe('ended');
});

// Guards against a new home that grants a key while a removed host may still run a call with it.
test('unknown keys are refused until a silent host can no longer run calls', async () => {
  const moved = keyWithHome('c', ALL_HOSTS, 'b', ['a', 'b']);
  const kept = keyWithHome('b', ALL_HOSTS, 'b', ['a', 'b']);
  network.down.add('c');
  setMembers(2, ['a', 'b']);
  await flushMicrotasks();
  expect(await claim('b', kept)).toBe('granted');
  expect(await claim('a', moved)).toBe('not-home');
  await advanceTime(2000 + TIME_LIMIT_MS);
  expect(await claim('a', moved)).toBe('granted');
});

// Guards against a key that is refused everywhere since a claim that was never granted is reported as
// a call that runs.
test('a claim that awaits its home does not keep a new home from granting it', async () => {
  const key = keyWithHome('c', ALL_HOSTS, 'b', ['a', 'b']);
  network.down.add('c');
  const awaiting = hosts.get('a')!.claims.client.claim(request('a', key));
  await flushMicrotasks();
  setMembers(2, ['a', 'b']);
  await advanceTime(2000 + TIME_LIMIT_MS);
  expect((await awaiting).kind).toBe('not-home');
  expect(await claim('b', key)).toBe('granted');
});

// Guards against a home that missed epochs and treats its outdated claims as complete.
test('a home that missed an epoch waits for the reports', async () => {
  const key = keyWithHome('c', ALL_HOSTS, 'b', ['a', 'b']);
  network.down.add('c');
  setMembers(2, ['a', 'b']);
  await advanceTime(2000 + TIME_LIMIT_MS);
  expect(await claim('b', key)).toBe('granted');
  setMembers(3, ALL_HOSTS, ['c']);
  expect(hosts.get('c')!.claims.client).toBeDefined();
  expect(await claim('c', key)).toBe('not-home');
  network.down.clear();
  setMembers(3, ALL_HOSTS, ['a', 'b']);
  await advanceTime(200);
  expect(['in-flight', 'ended']).toContain(await claim('c', key));
});

// Guards against a table that grows without bound or evicts a key early.
test('a full table refuses new keys, and keys expire after 10 minutes', () => {
  const time = new ManualClock();
  const table = new KeyTable(time, 2);
  const make = (key: string) => ({ ...request('a', key), deadline: time.now() + 100 });
  expect(table.claim(make('1'), true).kind).toBe('granted');
  expect(table.claim(make('2'), true).kind).toBe('granted');
  expect(table.claim(make('3'), true).kind).toBe('full');
  time.advanceBy(1200);
  const late = table.claim({ ...make('1'), claimant: 'b' }, true);
  expect(late).toEqual({ kind: 'ended', answer: UNKNOWN_ANSWER });
  time.advanceBy(10 * 60 * 1000);
  expect(table.claim(make('3'), true).kind).toBe('granted');
  expect(table.size()).toBe(1);
});
