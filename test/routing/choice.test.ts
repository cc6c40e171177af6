import { SimulatedFleet } from '../../soak/simulatedFleet';
import { simulatedSheet } from '../../soak/simulatedSheet';
import { type PolicyName, type PoolState, Router } from '../../src/routing';
import { ManualClock, SeededRandom } from '../../src/runtime';

import { callTraits } from './poolFixture';

const SERVICE = 'service-1';
const NONE: ReadonlySet<string> = new Set();
const IDLE: PoolState = { limit: 6, inFlight: 0, queued: 0, medianMs: 10 };

/** A router whose service has 16 targets of 6 slots, divided among `hosts` other hosts. */
function createEntry(hosts: number, ownTargets = 0, policy: PolicyName = 'owner') {
  const clock = new ManualClock();
  const sheet = simulatedSheet({
    targets: 16,
    slots: 6,
    coldLimit: 6,
    coldMs: 0,
    rain: false,
    hosts: 17,
  });
  const fleet = new SimulatedFleet('host-1', sheet);
  [...sheet.targets.keys()].forEach((id, index) => {
    if (index >= ownTargets) fleet.ownerOf.set(id, `host-${2 + (index % hosts)}`);
  });
  const router = new Router(fleet, clock, new SeededRandom(3), policy);
  const call = callTraits();
  const choose = (exclude = NONE) => router.choose(call, exclude);
  return { clock, fleet, router, call, choose };
}

// Guards against relaying a call while the entry host has a free target of its own.
test('own targets come first while they have a free slot', async () => {
  const { router, call, choose } = createEntry(15, 1);
  for (let count = 0; count < 6; count += 1) {
    expect(choose()).toMatchObject({ own: true, reason: 'own target is free' });
    await router.pool(SERVICE).acquire(call);
  }
  expect(choose()!.own).toBe(false);
});

// Guards against relaying to other zones while the own zone has free slots, and against staying in
// the own zone when it is full.
test('the own zone comes first while it has free slots', () => {
  const { choose } = createEntry(16);
  const zones = new Set<string>();
  for (let count = 0; count < 20; count += 1) zones.add(choose()!.owner.host.zone);
  expect([...zones]).toEqual(['zone-1']);
  for (let count = 0; count < 200; count += 1)
    zones.add((choose()!.begin(), choose()!.owner.host.zone));
  expect(zones.size).toBe(2);
});

// Guards against a thundering herd: all calls going to the one owner that just reported idle.
test('calls are distributed after one owner reports idle and the other ones report busy', () => {
  const { router, choose } = createEntry(16);
  for (let host = 2; host <= 17; host += 1) {
    router.applyPoolState(SERVICE, `host-${host}`, { ...IDLE, inFlight: host === 3 ? 0 : 4 });
  }
  const counts = new Map<string, number>();
  for (let count = 0; count < 32; count += 1) {
    const choice = choose()!;
    choice.begin();
    counts.set(choice.owner.host.host, (counts.get(choice.owner.host.host) ?? 0) + 1);
  }
  expect(Math.max(...counts.values())).toBeLessThanOrEqual(6);
  expect(counts.size).toBeGreaterThanOrEqual(8);
});

// Guards against sending calls repeatedly to the same full owner.
test('an owner that just refused is avoided for a short time', () => {
  const { clock, choose } = createEntry(2);
  choose(new Set(['host-2']))!.begin()('refused');
  for (let count = 0; count < 30; count += 1) expect(choose()!.owner.host.host).toBe('host-2');
  clock.advanceBy(250);
  const hosts = new Set(Array.from({ length: 30 }, () => choose()!.owner.host.host));
  expect(hosts.has('host-3')).toBe(true);
});

// Guards against calls to an owner whose only target is an outlier, and against never retrying it.
test('an owner without usable slots gets only rare trial calls', () => {
  const { clock, router, choose } = createEntry(16);
  router.applyPoolState(SERVICE, 'host-3', { ...IDLE, limit: 0 });
  for (let count = 0; count < 500; count += 1) expect(choose()!.owner.host.host).not.toBe('host-3');
  let trials = 0;
  for (let count = 0; count < 4000; count += 1) {
    clock.advanceBy(5);
    if (choose()!.owner.host.host === 'host-3') trials += 1;
  }
  expect(trials).toBeGreaterThanOrEqual(2);
  expect(trials).toBeLessThanOrEqual(12);
});

// Guards against a service whose owners are all ejected, so that it serves nothing.
test('no owner is ejected when owners without usable slots hold more than half of the slots', () => {
  const { router, choose } = createEntry(4);
  for (let host = 2; host <= 4; host += 1) {
    router.applyPoolState(SERVICE, `host-${host}`, { ...IDLE, limit: 0 });
  }
  const hosts = new Set(Array.from({ length: 60 }, () => choose()!.owner.host.host));
  expect(hosts.size).toBeGreaterThan(1);
  expect(choose(new Set(['host-2', 'host-3', 'host-4', 'host-5']))).toBeNull();
});

// Guards against a baseline that respects limits, which would make it look better than it is.
test('the naive policy sends to all targets in turn without limits', async () => {
  const { router, call, choose } = createEntry(16, 0, 'naive');
  expect(choose()).toMatchObject({ own: true, candidates: 16 });
  const targets = new Set<string>();
  for (let count = 0; count < 160; count += 1) {
    const slot = (await router.pool(SERVICE).acquire(call)).unwrap();
    targets.add(slot.target.target);
    expect(slot.maySend().ok).toBe(true);
  }
  expect(targets.size).toBe(16);
  expect(router.pool(SERVICE).state()).toMatchObject({ inFlight: 160, limit: 96 });
});

// Guards against a median that follows one slow target, or ignores the medians of other hosts.
test('medians of other hosts count for the service, and expire', async () => {
  const { clock, router } = createEntry(2);
  expect(router.medianMs(SERVICE)).toBe(0);
  router.applyPoolState(SERVICE, 'host-2', { ...IDLE, medianMs: 100 });
  router.applyMedian(SERVICE, 'host-3', 10);
  expect(router.medianMs(SERVICE)).toBe(10);
  clock.advanceBy(11_000);
  expect(router.medianMs(SERVICE)).toBe(0);
});
