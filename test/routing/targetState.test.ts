import { PoolFixture } from './poolFixture';

const FIRST = 't-1-1';

// Guards against sending a freshly started target more calls than its cold limit.
test('a target is cold when first seen, and its limit rises one slot at a time', async () => {
  const pool = new PoolFixture({ coldLimit: 1, coldMs: 500 });
  const slot = await pool.send();
  expect(await pool.ask({ deadline: 5 })).toBe('waits');
  pool.clock.advanceBy(10);
  pool.answer(slot);
  await pool.serve(20, 10);
  expect(pool.limit()).toBe(1);
  await pool.serve(30, 10);
  await pool.serve(10, 10);
  expect(pool.limit()).toBe(1);
  await pool.serve(12, 10);
  expect(pool.limit()).toBe(2);
  await pool.serve(25, 10);
  expect(pool.limit()).toBe(3);
});

// Guards against a restart that goes unnoticed, since the new process is cold.
test('a changed instance identity makes a target cold', async () => {
  const pool = new PoolFixture({ coldLimit: 1, coldMs: 0 });
  await pool.serve(60, 20);
  expect(pool.limit()).toBe(3);
  pool.answer(await pool.send(), 200, { instance: 'a' });
  pool.answer(await pool.send(), 200, { instance: 'a' });
  expect(pool.limit()).toBe(3);
  pool.answer(await pool.send(), 200, { instance: 'b' });
  expect(pool.limit()).toBe(1);
});

// Guards against calls that are placed before a restart is noticed and sent after it.
test('a call placed before its target became cold is not sent beyond the cold limit', async () => {
  const pool = new PoolFixture({ coldLimit: 1, coldMs: 0 });
  await pool.serve(60, 20);
  const first = await pool.send();
  const second = await pool.ask();
  const third = await pool.send();
  pool.answer(third, 200, { instance: 'a' });
  pool.answer(await pool.send(), 200, { instance: 'b' });
  expect(typeof second === 'string' ? second : second.maySend().val).toMatchObject({
    reason: 'overloaded',
  });
  pool.answer(first);
});

// Guards against sending many calls to a target whose connections fail.
test('after a lost connection the target gets one trial call at a time, every 250 ms', async () => {
  const pool = new PoolFixture({ coldLimit: 3 });
  pool.end(await pool.send(), { kind: 'connection-lost' });
  const trial = await pool.send();
  expect(trial.reason).toBe('trial after an outage');
  expect(await pool.ask()).toBe('waits');
  pool.end(trial, { kind: 'connect-failed' });
  expect(await pool.ask()).toBe('waits');
  pool.clock.advanceBy(260);
  expect(pool.router.ownedTarget(FIRST)!.inFlightCalls.size).toBe(1);
});

// Guards against an outlier that keeps getting calls until its slow answers arrive.
test('two calls far older than the median make a target an outlier; good trials clear it', async () => {
  const pool = new PoolFixture({ targets: 2, slots: 6, coldLimit: 6 });
  await pool.serve(30, 10);
  const slots = await Promise.all(Array.from({ length: 12 }, () => pool.send()));
  const slow = slots.filter((slot) => slot.target.target === FIRST);
  slots.filter((slot) => !slow.includes(slot)).forEach((slot) => pool.answer(slot));
  expect(slow).toHaveLength(6);
  pool.clock.advanceBy(60);
  expect(await pool.ask({ idempotent: false })).toMatchObject({ reason: 'least loaded' });
  expect(pool.router.ownedTarget(FIRST)!.outlierStatus.isOutlier).toBe(true);
  slow.forEach((slot) => pool.answer(slot));
  for (let trial = 0; trial < 3; trial += 1) {
    pool.clock.advanceBy(260);
    const slot = await pool.send();
    expect(slot).toMatchObject({ reason: 'trial of a suspected target' });
    expect(await pool.ask()).toMatchObject({ reason: 'least loaded' });
    pool.clock.advanceBy(10);
    pool.answer(slot);
  }
  expect(pool.router.ownedTarget(FIRST)!.outlierStatus.isOutlier).toBe(false);
});

// Guards against an average answer time that is never compared with the median.
test('answers three times slower than the median make a target an outlier', async () => {
  const pool = new PoolFixture({ targets: 3 });
  for (let round = 0; round < 12; round += 1) {
    const slots = await Promise.all([pool.send(), pool.send(), pool.send()]);
    const slow = slots.find((slot) => slot.target.target === FIRST);
    pool.clock.advanceBy(10);
    slots.filter((slot) => slot !== slow).forEach((slot) => pool.answer(slot));
    pool.clock.advanceBy(50);
    if (slow !== undefined) pool.answer(slow);
  }
  expect(pool.router.ownedTarget(FIRST)!.outlierStatus.isOutlier).toBe(true);
});

// Guards against a target that fails fast and therefore attracts most calls.
test('a quick error keeps its slot in use for the average answer time', async () => {
  const pool = new PoolFixture({ slots: 1, coldLimit: 1 });
  await pool.serve(5, 20);
  pool.answer(await pool.send(), 500);
  expect(await pool.ask()).toBe('waits');
  pool.clock.advanceBy(19);
  expect(pool.router.ownedTarget(FIRST)!.inFlightCalls.size).toBe(0);
  pool.clock.advanceBy(1);
  expect(pool.router.ownedTarget(FIRST)!.inFlightCalls.size).toBe(1);
});

// Guards against a pool that ejects all its targets and serves nothing.
test('at most half of a pool is ejected', async () => {
  const pool = new PoolFixture({ targets: 2, slots: 1, coldLimit: 1 });
  for (let round = 0; round < 4; round += 1) {
    for (let call = 0; call < 2; call += 1) pool.answer(await pool.send(), 500);
    pool.clock.advanceBy(300);
  }
  expect(pool.limit()).toBe(0);
  expect(await pool.ask({ idempotent: false })).toMatchObject({ reason: 'least loaded' });
});

// Guards against a load report that never expires, or that adds capacity.
test('a load report halves the limit for one second and never raises it', async () => {
  const pool = new PoolFixture({ slots: 6, coldLimit: 6 });
  pool.answer(await pool.send(), 200, { utilization: 0.1 });
  expect(pool.limit()).toBe(6);
  pool.answer(await pool.send(), 200, { utilization: 0.97 });
  expect(pool.limit()).toBe(3);
  pool.clock.advanceBy(1000);
  expect(pool.limit()).toBe(6);
});

// Guards against calls to a leaving target, whether it was reported by the target or the host list.
test('a leaving target gets no new call, and placed calls are not sent', async () => {
  const pool = new PoolFixture();
  const placed = await pool.ask();
  pool.answer(await pool.send(), 200, { draining: true });
  expect(await pool.ask()).toBe('no-usable-target');
  expect(typeof placed === 'string' || placed.maySend().ok).toBe(false);
  pool.router.applyProbe(FIRST, { kind: 'ready', instance: null, utilization: null });
  expect(await pool.ask()).toMatchObject({ target: { target: FIRST } });
  pool.router.applyHostList(new Map([[FIRST, 'leaving']]));
  expect(await pool.ask()).toBe('no-usable-target');
});

// Guards against exceeding the limit while calls of the previous owner still run.
test('slots of the previous owner stay reserved, and calls of a target that moved stay counted', async () => {
  const pool = new PoolFixture({ coldLimit: 3 });
  const old = await pool.send();
  pool.fleet.ownerOf.set(FIRST, 'host-2');
  pool.router.applyView(pool.fleet.change());
  expect(await pool.ask()).toBe('no-usable-target');
  expect(pool.router.describeTarget(FIRST)).toMatchObject({ callsInFlight: 1, lastDeadline: 1000 });
  pool.fleet.ownerOf.clear();
  pool.fleet.inherited.set(FIRST, {
    callsInFlight: 1,
    reservedUntil: 100,
    limit: 3,
    coldUntil: 0,
    instance: '',
  });
  pool.router.applyView(pool.fleet.change());
  await pool.send();
  expect(await pool.ask()).toBe('waits');
  pool.answer(old);
  expect(pool.router.describeTarget(FIRST)).toMatchObject({ callsInFlight: 3 });
  pool.clock.advanceBy(120);
  expect(await pool.ask()).toMatchObject({ target: { target: FIRST } });
});

// Guards against a call that waits until its deadline at the next owner for the slot that it holds
// itself at the previous one: it was placed here, can no longer be sent, and is routed again.
test('a call that was not sent is not counted for the next owner', async () => {
  const pool = new PoolFixture({ coldLimit: 3 });
  const placed = await pool.ask();
  await pool.send({ deadline: 700 });
  pool.fleet.ownerOf.set(FIRST, 'host-2');
  pool.router.applyView(pool.fleet.change());
  expect(pool.router.describeTarget(FIRST)).toMatchObject({ callsInFlight: 1, lastDeadline: 700 });
  expect(typeof placed === 'string' || placed.maySend().ok).toBe(false);
});

// Guards against a slot that is released twice and then counted as free twice.
test('finishing a slot twice is an internal error and is counted', async () => {
  const pool = new PoolFixture();
  const slot = await pool.send();
  pool.answer(slot);
  expect(() => pool.answer(slot)).toThrow('invariant violated');
  expect(pool.router.invariants.violations).toBe(1);
});
