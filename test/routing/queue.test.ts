import { PoolFixture } from './poolFixture';

// Guards against lower classes taking the slots that are reserved for flood watch under rain.
test('under rain lower classes leave the reserved slots free', async () => {
  const pool = new PoolFixture({ slots: 6, coldLimit: 6, rain: true });
  for (let call = 0; call < 4; call += 1) await pool.send({ class: 'standard' });
  expect(await pool.ask({ class: 'standard' })).toBe('waits');
  await pool.send({ class: 'flood' });
  await pool.send({ class: 'flood' });
  expect(await pool.ask({ class: 'flood' })).toBe('waits');
});

// Guards against a queue that ignores ranks under rain and serves by arrival alone.
test('a free slot goes to the class of the best rank first', async () => {
  const pool = new PoolFixture({ slots: 1, coldLimit: 1, rain: true });
  const order: string[] = [];
  const slot = await pool.send();
  for (const priority of ['standard', 'flood', 'standard']) {
    void pool.router
      .pool('service-1')
      .acquire(pool.traits({ class: priority }))
      .then((granted) => {
        order.push(priority);
        granted.unwrap().finish({ kind: 'cancelled' });
      });
  }
  pool.answer(slot);
  await pool.ask();
  await pool.ask();
  expect(order).toEqual(['flood', 'standard', 'standard']);
});

// Guards against queueing calls that cannot be served in time, and against refusing those that can.
test('a call whose expected wait leaves no time for its answer is refused at once', async () => {
  const pool = new PoolFixture({ slots: 1, coldLimit: 1 });
  await pool.serve(5, 100);
  await pool.send({ deadline: 10_000 });
  for (let call = 0; call < 3; call += 1) {
    expect(await pool.ask({ deadline: 10_000 })).toBe('waits');
  }
  expect(await pool.ask({ deadline: pool.clock.now() + 350 })).toBe('overloaded');
  expect(await pool.ask({ deadline: pool.clock.now() + 450 })).toBe('waits');
});

// Guards against two suspect calls at one target: a crash could not be attributed to either.
test('a suspect call waits while another suspect runs on the target', async () => {
  const pool = new PoolFixture();
  const suspect = await pool.send({ suspect: 'a' });
  expect(await pool.ask({ suspect: 'b' })).toBe('waits');
  await pool.send();
  expect(pool.router.ownedTarget('t-1-1')!.inFlightCalls.size).toBe(2);
  pool.answer(suspect);
  expect(pool.router.ownedTarget('t-1-1')!.inFlightCalls.size).toBe(2);
});

// Guards against a waiter that is not served when a slot becomes free by time alone.
test('a waiting call is served when a load report expires without any call finishing', async () => {
  const pool = new PoolFixture({ slots: 2, coldLimit: 2 });
  pool.answer(await pool.send(), 200, { utilization: 1 });
  await pool.send({ deadline: 9000 });
  expect(await pool.ask({ deadline: 9000 })).toBe('waits');
  pool.clock.advanceBy(1030);
  expect(pool.router.ownedTarget('t-1-1')!.inFlightCalls.size).toBe(2);
});

// Guards against sending a call after its host was paused or the zone of its target taken out.
test('a placed call is not sent past the view deadline, past its own, or into a zone that is out', async () => {
  const pool = new PoolFixture({ slots: 6, coldLimit: 6 });
  const trySend = async (change: () => void) => {
    const slot = await pool.ask({ deadline: pool.clock.now() + 50 });
    change();
    return typeof slot === 'string' ? slot : slot.maySend().ok || slot.maySend().val;
  };
  expect(await trySend(() => {})).toBe(true);
  expect(await trySend(() => pool.clock.advanceBy(50))).toMatchObject({ reason: 'deadline' });
  const out = () => {
    pool.fleet.zonesOut.add('zone-1');
    pool.router.applyView(pool.fleet.change());
  };
  expect(await trySend(out)).toMatchObject({ reason: 'no-usable-target' });
  pool.fleet.zonesOut.clear();
  pool.router.applyView(pool.fleet.change());
  const expire = () => {
    pool.fleet.deadline = pool.clock.now();
  };
  expect(await trySend(expire)).toMatchObject({ reason: 'view-expired' });
});
