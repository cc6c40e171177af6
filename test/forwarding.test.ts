import { type ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { request } from 'undici';

import { freePort } from '../standins';

import { type LocalFleet, startLocalFleet } from './support/localFleet';
import { RawTarget } from './support/rawTarget';

const SERVICE = 'lookup';
const LOST = (_request: unknown, response: ServerResponse) => response.socket!.destroy();
const SLOW = () => {};
// A caller's own limit; a call that has not reached its target by then is lost.
const REACH_MS = 5000;
// Targets must not work for callers that left half a second ago.
const CANCEL_MS = 500;

async function until(holds: () => boolean, mostMs: number): Promise<void> {
  const end = performance.now() + mostMs;
  while (!holds() && performance.now() < end) await sleep(5);
}

interface Started {
  readonly fleet: LocalFleet;
  readonly targets: readonly RawTarget[];
}

let started: Started | null = null;

async function start(targets: readonly RawTarget[], hosts = 1, limit = 1000): Promise<Started> {
  const ports = await Promise.all(targets.map((target) => target.start()));
  const fleet = await startLocalFleet({
    hosts,
    sheet: (text) => text.replace(/,1024,10,0.5/g, ',1024,100,0.5'),
    services: [
      {
        name: SERVICE,
        timeLimitMs: limit,
        targets: ports.map((port, index) => ({ id: `t-${index}`, zone: 'zone-1', port })),
      },
    ],
  });
  started = { fleet, targets };
  return started;
}

afterEach(async () => {
  if (started === null) return;
  const { fleet, targets } = started;
  started = null;
  const violations = fleet.gateways.map((gateway) => gateway.outcomes.violationCount());
  await Promise.all(targets.map((target) => target.stop()));
  await fleet.stop();
  expect(violations).toEqual(fleet.gateways.map(() => 0));
});

function totalRequests(targets: readonly RawTarget[]): number {
  return targets.reduce((sum, target) => sum + target.requests.length, 0);
}

// Guards against a non-idempotent call that runs twice after its connection was lost.
test('a non-idempotent call is sent once and its loss is told as unknown', async () => {
  const { fleet, targets } = await start([new RawTarget(LOST), new RawTarget(LOST)], 2);
  for (const url of fleet.urls) {
    const answer = await request(`${url}/${SERVICE}/x`, { method: 'POST', body: 'x' });
    expect(answer.statusCode).toBe(502);
    expect(answer.headers['limpetknot-outcome']).toBe('outcome-unknown');
    expect(await answer.body.json()).toMatchObject({ reason: 'connection-lost' });
  }
  expect(totalRequests(targets)).toBe(2);
});

// Guards against an idempotent call that fails with one target although another one works.
test('an idempotent call is retried at another target', async () => {
  const { fleet, targets } = await start([new RawTarget(LOST), new RawTarget()]);
  for (let call = 0; call < 6; call += 1) {
    const answer = await request(`${fleet.urls[0]}/${SERVICE}/x`);
    expect(answer.statusCode).toBe(200);
    expect(await answer.body.text()).toBe('ok');
  }
  expect(targets[1]!.requests).toHaveLength(6);
});

// Guards against retries that multiply in a chain of calls.
test('a call of depth above 0 is not retried', async () => {
  const { fleet, targets } = await start([new RawTarget(LOST), new RawTarget(LOST)]);
  const answer = await request(`${fleet.urls[0]}/${SERVICE}/x`, {
    headers: { baggage: 'tenant=a,limpetknot-depth=1' },
  });
  expect(answer.statusCode).toBe(502);
  await answer.body.dump();
  expect(totalRequests(targets)).toBe(1);
  const seen = targets.flatMap((target) => target.headers);
  expect(seen[0]!.baggage).toBe('tenant=a,limpetknot-depth=2');
});

// Guards against an error answer that hides the good one of another target, and against two answers.
test('a server error is retried and passed on only when nothing better is there', async () => {
  const failing = new RawTarget((_request, response) => {
    response.statusCode = 500;
    response.end('failed');
  });
  const { fleet, targets } = await start([failing, new RawTarget()]);
  const good = await request(`${fleet.urls[0]}/${SERVICE}/x`);
  expect(await good.body.text()).toBe('ok');
  targets[1]!.handler = failing.handler;
  const bad = await request(`${fleet.urls[0]}/${SERVICE}/x`);
  expect(bad.statusCode).toBe(500);
  expect(await bad.body.text()).toBe('failed');
});

// Guards against a hedge that leaves the losing attempt running at its target.
test('a slow call is hedged and the losing attempt is cancelled', async () => {
  const { fleet, targets } = await start([new RawTarget(), new RawTarget()]);
  for (let call = 0; call < 24; call += 1) {
    await (await request(`${fleet.urls[0]}/${SERVICE}/x`)).body.dump();
  }
  targets[0]!.handler = SLOW;
  for (let call = 0; call < 4; call += 1) {
    const answer = await request(`${fleet.urls[0]}/${SERVICE}/x`);
    expect(answer.statusCode).toBe(200);
    await answer.body.dump();
  }
  await sleep(50);
  expect(targets[0]!.cancelled).toBeGreaterThan(0);
});

// Guards against a dead target that fails calls which another target could take.
test('a refused connection is not run and the call goes to another target', async () => {
  const dead = await freePort();
  const target = new RawTarget();
  const port = await target.start();
  const fleet = await startLocalFleet({
    hosts: 2,
    services: [
      {
        name: SERVICE,
        targets: [
          { id: 't-dead', zone: 'zone-1', port: dead },
          { id: 't-live', zone: 'zone-1', port },
        ],
      },
    ],
  });
  started = { fleet, targets: [target] };
  for (const url of fleet.urls) {
    const answer = await request(`${url}/${SERVICE}/x`, { method: 'POST', body: 'x' });
    expect(answer.statusCode).toBe(200);
    await answer.body.dump();
  }
  expect(target.requests.map((each) => each.body)).toEqual(['x', 'x']);
});

// Guards against losing a call that its target refused without running it.
test('a target that says "not run" is left for another one', async () => {
  const refusing = new RawTarget((_request, response) => {
    response.writeHead(503, { 'limpetknot-outcome': 'not-run' }).end();
  });
  const { fleet, targets } = await start([refusing, new RawTarget()], 2);
  for (const url of fleet.urls) {
    const answer = await request(`${url}/${SERVICE}/x`, { method: 'POST', body: 'x' });
    expect(answer.statusCode).toBe(200);
    await answer.body.dump();
  }
  expect(targets[1]!.requests).toHaveLength(2);
});

// Guards against a truncated answer that looks whole, directly and through a relay.
test('a truncated answer closes the connection of the caller', async () => {
  const cut = new RawTarget((_request, response) => {
    response.writeHead(200, { 'content-length': 10 });
    response.write('half', () => setTimeout(() => response.socket!.destroy(), 20));
  });
  const { fleet } = await start([cut], 2);
  for (const url of fleet.urls) {
    const answer = await request(`${url}/${SERVICE}/x`);
    expect(answer.statusCode).toBe(200);
    await expect(answer.body.text()).rejects.toThrow();
  }
});

// Guards against work that goes on at a target after its caller went away.
test('a caller that goes away cancels its call, also through a relay', async () => {
  const { fleet, targets } = await start([new RawTarget(SLOW)], 2);
  for (const url of fleet.urls) {
    const caller = new AbortController();
    const received = targets[0]!.requests.length;
    const call = request(`${url}/${SERVICE}/x`, { signal: caller.signal, method: 'POST' });
    // A caller that left before its call reached the target would leave nothing to cancel.
    const left = call.then(
      () => 'answered',
      () => 'gone',
    );
    await until(() => targets[0]!.requests.length > received, REACH_MS);
    caller.abort();
    expect(await left).toBe('gone');
  }
  await until(() => targets[0]!.cancelled === 2, CANCEL_MS);
  expect(targets[0]!.cancelled).toBe(2);
});

// Guards against an answer after the deadline, and against a target that is not told its time.
test('a call past its deadline ends with 504 and is cancelled at the target', async () => {
  const { fleet, targets } = await start([new RawTarget(SLOW)], 2);
  for (const url of fleet.urls) {
    const answer = await request(`${url}/${SERVICE}/x`, {
      method: 'POST',
      headers: { 'limpetknot-timeout-ms': '100' },
    });
    expect(answer.statusCode).toBe(504);
    expect(answer.headers['limpetknot-outcome']).toBe('outcome-unknown');
    await answer.body.dump();
    // The only slot stays taken until the target has seen the closed connection.
    await sleep(50);
  }
  expect(targets[0]!.cancelled).toBe(2);
  const left = targets[0]!.headers.map((headers) => Number(headers['limpetknot-timeout-ms']));
  expect(left.every((milliseconds) => milliseconds > 0 && milliseconds <= 100)).toBe(true);
});

// Guards against a large body that is cut or reordered on its way, or buffered as a whole.
test('a large body is streamed whole, also through a relay', async () => {
  const { fleet, targets } = await start([new RawTarget()], 2);
  const body = 'pit '.repeat(50_000);
  for (const url of fleet.urls) {
    const answer = await request(`${url}/${SERVICE}/x`, { method: 'PUT', body });
    expect(answer.statusCode).toBe(200);
    await answer.body.dump();
  }
  expect(targets[0]!.requests.map((each) => each.body === body)).toEqual([true, true]);
});
