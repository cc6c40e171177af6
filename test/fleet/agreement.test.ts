import { SimFleet, simSheet } from './simFleet';

const SEED = Number(process.env.SEED ?? 1);

async function runningFleet(hosts = 5): Promise<SimFleet> {
  const sim = new SimFleet(SEED, simSheet(hosts));
  sim.startAll();
  await sim.advance(9000);
  return sim;
}

function members(sim: SimFleet, host: string): readonly string[] {
  return sim.fleet(host).view()!.record.members;
}

const outZone1 = { kind: 'zone-out', id: 'order-1', zone: 'zone-1', force: false } as const;

// Guards against a start that never completes or leaves hosts out. With an even number of hosts
// there may be a majority neither of established nor of starting hosts.
test.each([1, 2, 3, 4, 5])('a fleet of %i hosts without a record starts', async (count) => {
  const sim = new SimFleet(SEED, simSheet(count));
  for (const host of sim.sheet.hosts.keys()) {
    sim.start(host);
    await sim.advance(400);
  }
  await sim.advance(9000);
  for (const host of sim.hosts.keys()) {
    expect(sim.fleet(host).isReady()).toBe(true);
    expect(members(sim, host)).toHaveLength(count);
  }
});

// Guards against a host that did not receive the order and still uses the zone 2 s after it.
test.each(['paused', 'cut off in both directions', 'cut off from what others send'])(
  'a host that is %s stops using a zone that was taken out',
  async (how) => {
    const sim = await runningFleet();
    const others = [...sim.hosts.keys()].filter((host) => host !== 'host-5');
    if (how === 'paused') sim.process('host-5').pause();
    else for (const host of others) sim.network.cut(host, 'host-5');
    if (how.includes('both')) for (const host of others) sim.network.cut('host-5', host);
    const answer = await sim.during(sim.fleet('host-1').submit(outZone1));
    expect(answer.unwrap()).toMatchObject({ orderId: 'order-1', unchanged: false });
    sim.zonesOutSince.set('zone-1', sim.now());
    await sim.advance(2100);
    expect(sim.fleet('host-5').isReady()).toBe(false);
    expect(sim.fleet('host-5').view()!.record.zonesOut).toEqual([]);
    await sim.advance(4000);
    expect(members(sim, 'host-1')).not.toContain('host-5');
    sim.network.cuts.clear();
    sim.process('host-5').resume();
    expect(sim.fleet('host-5').isReady()).toBe(false);
    await sim.advance(6000);
    expect(sim.fleet('host-5').view()!.record.zonesOut).toEqual(['zone-1']);
    expect(members(sim, 'host-1')).toContain('host-5');
  },
);

// Guards against two records for one epoch, and against a conflict that is not reported.
test('concurrent orders are all decided, and a conflicting order is rejected', async () => {
  const sim = await runningFleet();
  await sim.during(sim.fleet('host-1').submit(outZone1));
  const out = { kind: 'zone-out', id: 'order-2', zone: 'zone-2', force: false } as const;
  const sheet = simSheet(5, 2);
  const answers = await sim.during(
    Promise.all([
      sim.fleet('host-2').submit({ kind: 'zone-back', id: 'order-3', zone: 'zone-1' }),
      sim.fleet('host-3').submit(out),
      sim.fleet('host-4').submit({ kind: 'load-sheet', id: 'order-4', sheet }),
    ]),
  );
  expect(answers.map((answer) => answer.ok)).toEqual([true, true, true]);
  await sim.advance(500);
  for (const host of sim.hosts.keys()) {
    expect(sim.fleet(host).view()!.record).toMatchObject({
      zonesOut: ['zone-2'],
      sheetVersion: 2,
    });
  }
  const { epoch } = sim.fleet('host-1').view()!.record;
  const repeat = await sim.during(sim.fleet('host-5').submit(out));
  expect(repeat.unwrap().orderId).toBe('order-2');
  const stale = { ...outZone1, id: 'order-5', basisEpoch: 2 };
  const conflict = await sim.during(sim.fleet('host-5').submit(stale));
  expect(conflict.err && conflict.val).toMatchObject({
    kind: 'conflict',
    detail: 'not accepted: order order-3 came first',
  });
  const old = { kind: 'load-sheet', id: 'order-6', sheet: simSheet(4, 2) } as const;
  const lower = await sim.during(sim.fleet('host-1').submit(old));
  expect(lower.err && lower.val.kind).toBe('conflict');
  expect(sim.fleet('host-1').view()!.record.epoch).toBe(epoch);
});

// Guards against an order that takes the last zone out of service by mistake.
test('the last zone in service goes out only when forced', async () => {
  const sim = await runningFleet();
  const submit = (zone: string, force: boolean) =>
    sim.during(
      sim.fleet('host-1').submit({ kind: 'zone-out', id: `${zone}-${force}`, zone, force }),
    );
  expect((await submit('zone-1', false)).ok).toBe(true);
  expect((await submit('zone-2', false)).ok).toBe(true);
  const refused = await submit('zone-3', false);
  expect(refused.err && refused.val.kind).toBe('last-zone');
  expect((await submit('zone-3', true)).ok).toBe(true);
  const unknown = await submit('zone-9', false);
  expect(unknown.err && unknown.val.kind).toBe('invalid');
});

// Guards against an order that takes effect on a minority of the voters.
test('without a quorum no order is accepted and all views end', async () => {
  const sim = await runningFleet();
  for (const host of ['host-3', 'host-4', 'host-5']) sim.kill(host);
  const answer = await sim.during(sim.fleet('host-1').submit(outZone1));
  expect(answer.err && answer.val.kind).toBe('no-quorum');
  expect(sim.fleet('host-1').isReady()).toBe(false);
});

// Guards against an accepted record that is lost or changed when its proposer fails.
test('other hosts complete the record of a failed proposer', async () => {
  const sim = await runningFleet();
  const order = sim.fleet('host-1').submit(outZone1);
  const { epoch } = sim.fleet('host-1').view()!.record;
  // One voter has accepted the record; its reply takes at least 1 ms, so no host has committed.
  const others = [...sim.hosts.keys()].filter((host) => host !== 'host-1');
  while (others.every((host) => sim.heldEpoch(host) === epoch)) await sim.advance(1);
  sim.kill('host-1');
  void order;
  for (const host of sim.hosts.keys()) {
    expect(sim.fleet(host).view()!.record.epoch).toBe(epoch);
  }
  await sim.advance(3000);
  for (const host of ['host-2', 'host-3', 'host-4', 'host-5']) {
    expect(sim.fleet(host).view()!.record).toMatchObject({ zonesOut: ['zone-1'] });
  }
});

// Guards against a restarted host that votes or serves without knowing the record.
test('a host that restarts without memory takes the record from a majority', async () => {
  const sim = await runningFleet();
  await sim.during(sim.fleet('host-1').submit(outZone1));
  sim.start('host-2');
  await sim.advance(1900);
  expect(sim.fleet('host-2').isEstablished()).toBe(false);
  await sim.advance(4000);
  expect(sim.fleet('host-2').isReady()).toBe(true);
  expect(sim.fleet('host-2').view()!.record.zonesOut).toEqual(['zone-1']);
});

// Guards against losing an accepted order when all hosts but one are restarted.
test('a record survives the replacement of all hosts but one', async () => {
  const sim = await runningFleet();
  await sim.during(sim.fleet('host-1').submit(outZone1));
  for (const host of ['host-1', 'host-2', 'host-3', 'host-4']) sim.start(host);
  await sim.advance(12_000);
  for (const host of sim.hosts.keys()) {
    expect(sim.fleet(host).isReady()).toBe(true);
    expect(sim.fleet(host).view()!.record.zonesOut).toEqual(['zone-1']);
    expect(members(sim, host)).toHaveLength(5);
  }
});

// Guards against a change of voters without a majority of both the old and the new voters.
test('a sheet with other voters needs a majority of both', async () => {
  const sim = await runningFleet(3);
  const sheet = simSheet(7, 2);
  const early = await sim.during(sim.fleet('host-1').publish(sheet));
  expect(early.ok).toBe(false);
  for (const host of ['host-4', 'host-5', 'host-6', 'host-7']) sim.start(host, sheet);
  await sim.advance(6000);
  expect((await sim.during(sim.fleet('host-1').publish(sheet))).ok).toBe(true);
  await sim.advance(4000);
  expect(members(sim, 'host-7')).toHaveLength(7);
});

// Guards against a target that receives more calls than its limit while its owner changes.
test('a leaving host hands its targets over with their calls', async () => {
  const sim = await runningFleet();
  await sim.advance(1500, () => sim.sendCalls());
  const leaving = sim.fleet('host-3').leave(sim.now() + 10_000);
  let left = false;
  void leaving.then(() => {
    left = true;
  });
  const startedAt = sim.now();
  while (!left) await sim.advance(4, () => sim.sendCalls());
  expect(sim.now() - startedAt).toBeLessThan(1500);
  sim.kill('host-3');
  await sim.advance(300, () => sim.sendCalls());
  for (const host of ['host-1', 'host-2', 'host-4', 'host-5']) {
    for (const owned of sim.fleet(host).view()!.owned.values()) {
      expect(owned.usableFrom).toBeLessThanOrEqual(sim.now());
    }
  }
  await sim.advance(3000, () => sim.sendCalls());
  expect(sim.callsMade).toBeGreaterThan(50);
});

// Guards against a restarted host that votes again and contradicts a vote it has forgotten.
test('a restarted host that reaches only a minority is not established', async () => {
  const sim = await runningFleet();
  for (const host of ['host-3', 'host-4', 'host-5']) {
    sim.network.cut(host, 'host-2');
    sim.network.cut('host-2', host);
  }
  sim.start('host-2');
  await sim.advance(8000);
  expect(sim.fleet('host-2').isEstablished()).toBe(false);
  sim.network.cuts.clear();
  await sim.advance(5000);
  expect(sim.fleet('host-2').isReady()).toBe(true);
});
