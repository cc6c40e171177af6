import { createServer } from 'node:http';
import { type AddressInfo } from 'node:net';

import { Agent } from 'undici';

import { HttpProbeTransport, Prober, type ProbeTransport } from '../../src/probing';
import { type ProbeAnswer } from '../../src/routing';
import { SeededRandom } from '../../src/runtime';
import { PoolFixture } from '../routing/poolFixture';

const READY: ProbeAnswer = { kind: 'ready', instance: null, utilization: null };

/** A prober with a fake transport that answers at once; the sheet allows 0.5 probes a second. */
function startProber(pool: PoolFixture, answer: () => ProbeAnswer = () => READY) {
  const probes: number[] = [];
  const signals: AbortSignal[] = [];
  const transport: ProbeTransport = {
    probe: (_target, signal) => {
      probes.push(pool.clock.now());
      signals.push(signal);
      return Promise.resolve(answer());
    },
  };
  const { fleet, router, clock } = pool;
  const prober = new Prober({ fleet, router, clock, random: new SeededRandom(1), transport });
  prober.applyView(fleet.view());
  const advance = async (ms: number, meanwhile: () => Promise<void> = () => Promise.resolve()) => {
    for (let step = 0; step < ms; step += 50) {
      pool.clock.advanceBy(50);
      await meanwhile();
      await new Promise(setImmediate);
    }
  };
  return { probes, signals, prober, advance };
}

// Guards against exceeding the probe budget, also just after the previous owner probed.
test('an idle target is probed within the budget of its service', async () => {
  const pool = new PoolFixture();
  const { probes, prober, advance } = startProber(pool);
  await advance(60_000);
  expect(probes[0]).toBeGreaterThanOrEqual(2000);
  expect(probes.length).toBeGreaterThanOrEqual(24);
  expect(probes.length).toBeLessThanOrEqual(30);
  await prober.close();
  await advance(10_000);
  expect(probes.length).toBeLessThanOrEqual(30);
});

// Guards against needless probes of a target whose calls already show its state.
test('a target that answers calls is not probed', async () => {
  const pool = new PoolFixture();
  const { probes, prober, advance } = startProber(pool);
  await advance(10_000, async () => pool.answer(await pool.send()));
  expect(probes).toEqual([]);
  await prober.close();
});

// Guards against probes by a host that lost contact with the fleet, or of targets owned by others.
test('nothing is probed past the view deadline or after the target moved', async () => {
  const pool = new PoolFixture();
  const { probes, signals, prober, advance } = startProber(pool);
  pool.fleet.deadline = 2500;
  await advance(10_000);
  expect(probes).toHaveLength(1);
  expect(signals[0]!.aborted).toBe(false);
  pool.fleet.deadline = Number.POSITIVE_INFINITY;
  pool.fleet.ownerOf.set('t-1-1', 'host-2');
  pool.router.applyView(pool.fleet.change());
  prober.applyView(pool.fleet.view());
  await advance(10_000);
  expect(probes).toHaveLength(1);
  await prober.close();
});

// Guards against probe answers that are not applied to the state of the target.
test('a probe that says draining stops calls, and a ready one allows them again', async () => {
  const pool = new PoolFixture();
  let answer: ProbeAnswer = { ...READY, kind: 'draining' };
  const { prober, advance } = startProber(pool, () => answer);
  await advance(3000);
  expect(await pool.ask()).toBe('no-usable-target');
  answer = READY;
  await advance(3000);
  expect(await pool.ask()).toMatchObject({ target: { target: 't-1-1' } });
  await prober.close();
});

// Guards against misreading the status or the body of a probe answer.
test('the transport reads the status and the JSON body of GET /readyz', async () => {
  const answers = [
    { status: 200, body: '{"instance":"a","load":0.5}' },
    { status: 503, body: 'draining' },
    { status: 404, body: '[]' },
  ];
  const server = createServer((request, response) => {
    const { status, body } = answers.shift()!;
    expect(request.url).toBe('/readyz');
    response.writeHead(status).end(body);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const { target } = new PoolFixture().router.ownedTarget('t-1-1')!;
  const dispatcher = new Agent();
  const transport = new HttpProbeTransport(dispatcher);
  const probe = () => transport.probe({ ...target, port }, new AbortController().signal);
  expect(await probe()).toEqual({ kind: 'ready', instance: 'a', utilization: 0.5 });
  expect(await probe()).toEqual({ kind: 'draining', instance: null, utilization: null });
  expect(await probe()).toMatchObject({ kind: 'failed' });
  await dispatcher.close();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  expect(await probe()).toMatchObject({ kind: 'unreachable' });
});
