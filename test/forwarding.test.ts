import { type ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { request } from 'undici';

import { freePort } from '../standins';

import { type LocalFleet, startLocalFleet } from './support/localFleet';
import { RawTarget } from './support/rawTarget';

const SERVICE = 'lookup';
const DESTROY_CONNECTION = (_request: unknown, response: ServerResponse) =>
  response.socket!.destroy();
const NEVER_ANSWER = () => {};
// A call that has not reached its target within this time counts as lost.
const ARRIVAL_TIMEOUT_MS = 5000;
// A target must stop working within half a second after its caller has disconnected.
const CANCEL_TIMEOUT_MS = 500;

async function waitUntil(condition: () => boolean, timeoutMs: number): Promise<void> {
  const end = performance.now() + timeoutMs;
  while (!condition() && performance.now() < end) await sleep(5);
}

interface TestFleet {
  readonly fleet: LocalFleet;
  readonly targets: readonly RawTarget[];
}

let testFleet: TestFleet | null = null;

async function startTestFleet(
  targets: readonly RawTarget[],
  hosts = 1,
  limitMs = 1000,
): Promise<TestFleet> {
  const ports = await Promise.all(targets.map((target) => target.start()));
  const fleet = await startLocalFleet({
    hosts,
    sheet: (text) => text.replace(/,1024,10,0.5/g, ',1024,100,0.5'),
    services: [
      {
        name: SERVICE,
        timeLimitMs: limitMs,
        targets: ports.map((port, index) => ({ id: `t-${index}`, zone: 'zone-1', port })),
      },
    ],
  });
  testFleet = { fleet, targets };
  return testFleet;
}

afterEach(async () => {
  if (testFleet === null) return;
  const { fleet, targets } = testFleet;
  testFleet = null;
  const violations = fleet.gateways.map((gateway) => gateway.outcomes.violationCount());
  await Promise.all(targets.map((target) => target.stop()));
  await fleet.stop();
  expect(violations).toEqual(fleet.gateways.map(() => 0));
});

function totalRequests(targets: readonly RawTarget[]): number {
  return targets.reduce((sum, target) => sum + target.requests.length, 0);
}

// Guards against running a non-idempotent call twice after its connection was lost.
test('a non-idempotent call is sent once and a lost connection is outcome-unknown', async () => {
  const { fleet, targets } = await startTestFleet(
    [new RawTarget(DESTROY_CONNECTION), new RawTarget(DESTROY_CONNECTION)],
    2,
  );
  for (const url of fleet.urls) {
    const answer = await request(`${url}/${SERVICE}/x`, { method: 'POST', body: 'x' });
    expect(answer.statusCode).toBe(502);
    expect(answer.headers['limpetknot-outcome']).toBe('outcome-unknown');
    expect(await answer.body.json()).toMatchObject({ reason: 'connection-lost' });
  }
  expect(totalRequests(targets)).toBe(2);
});

// Guards against failing an idempotent call because of one target while another one works.
test('an idempotent call is retried at another target', async () => {
  const { fleet, targets } = await startTestFleet([
    new RawTarget(DESTROY_CONNECTION),
    new RawTarget(),
  ]);
  for (let call = 0; call < 6; call += 1) {
    const answer = await request(`${fleet.urls[0]}/${SERVICE}/x`);
    expect(answer.statusCode).toBe(200);
    expect(await answer.body.text()).toBe('ok');
  }
  expect(targets[1]!.requests).toHaveLength(6);
});

// Guards against retries that multiply along a call chain.
test('a call of depth above 0 is not retried', async () => {
  const { fleet, targets } = await startTestFleet([
    new RawTarget(DESTROY_CONNECTION),
    new RawTarget(DESTROY_CONNECTION),
  ]);
  const answer = await request(`${fleet.urls[0]}/${SERVICE}/x`, {
    headers: { baggage: 'tenant=a,limpetknot-depth=1' },
  });
  expect(answer.statusCode).toBe(502);
  await answer.body.dump();
  expect(totalRequests(targets)).toBe(1);
  const headers = targets.flatMap((target) => target.headers);
  expect(headers[0]!.baggage).toBe('tenant=a,limpetknot-depth=2');
});

// Guards against returning an error although another target can answer, and against two answers.
test('a server error is retried and returned only when no attempt succeeds', async () => {
  const failing = new RawTarget((_request, response) => {
    response.statusCode = 500;
    response.end('failed');
  });
  const { fleet, targets } = await startTestFleet([failing, new RawTarget()]);
  const good = await request(`${fleet.urls[0]}/${SERVICE}/x`);
  expect(await good.body.text()).toBe('ok');
  targets[1]!.handler = failing.handler;
  const bad = await request(`${fleet.urls[0]}/${SERVICE}/x`);
  expect(bad.statusCode).toBe(500);
  expect(await bad.body.text()).toBe('failed');
});

// Guards against a hedge that leaves the other attempt running at its target.
test('a slow call is hedged and the losing attempt is cancelled', async () => {
  const { fleet, targets } = await startTestFleet([new RawTarget(), new RawTarget()]);
  for (let call = 0; call < 24; call += 1) {
    await (await request(`${fleet.urls[0]}/${SERVICE}/x`)).body.dump();
  }
  targets[0]!.handler = NEVER_ANSWER;
  const before = targets[0]!.requests.length;
  // Which target a call goes to is random, so that calls are sent until the slow one has some.
  for (let call = 0; call < 4 || targets[0]!.requests.length === before; call += 1) {
    const answer = await request(`${fleet.urls[0]}/${SERVICE}/x`);
    expect(answer.statusCode).toBe(200);
    await answer.body.dump();
  }
  for (let wait = 0; wait < 100 && targets[0]!.cancelled === 0; wait += 1) await sleep(50);
  expect(targets[0]!.cancelled).toBeGreaterThan(0);
});

// Guards against a hedge so late that the second target has no time left: one slow answer among the first
// ones is their 95th percentile.
test('a call at a silent target is hedged in time after one slow answer', async () => {
  const { fleet, targets } = await startTestFleet([new RawTarget(), new RawTarget()]);
  const answerAfter = (ms: number) => (_request: unknown, response: ServerResponse) =>
    setTimeout(() => response.end('ok'), ms);
  for (let call = 0; call < 24; call += 1) {
    for (const target of targets) target.handler = answerAfter(call === 5 ? 900 : 1);
    await (await request(`${fleet.urls[0]}/${SERVICE}/x`)).body.dump();
  }
  targets[0]!.handler = NEVER_ANSWER;
  targets[1]!.handler = answerAfter(200);
  const before = targets[0]!.requests.length;
  while (targets[0]!.requests.length === before) {
    const answer = await request(`${fleet.urls[0]}/${SERVICE}/x`);
    expect(answer.statusCode).toBe(200);
    await answer.body.dump();
  }
});

// Guards against failing calls because of a dead target while another target could run them.
test('a refused connection counts as not-run and the call goes to another target', async () => {
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
  testFleet = { fleet, targets: [target] };
  for (const url of fleet.urls) {
    const answer = await request(`${url}/${SERVICE}/x`, { method: 'POST', body: 'x' });
    expect(answer.statusCode).toBe(200);
    await answer.body.dump();
  }
  expect(target.requests.map((each) => each.body)).toEqual(['x', 'x']);
});

// Guards against failing a call that its target refused without running it.
test('a call that a target reports as not-run goes to another target', async () => {
  const refusing = new RawTarget((_request, response) => {
    response.writeHead(503, { 'limpetknot-outcome': 'not-run' }).end();
  });
  const { fleet, targets } = await startTestFleet([refusing, new RawTarget()], 2);
  for (const url of fleet.urls) {
    const answer = await request(`${url}/${SERVICE}/x`, { method: 'POST', body: 'x' });
    expect(answer.statusCode).toBe(200);
    await answer.body.dump();
  }
  expect(targets[1]!.requests).toHaveLength(2);
});

// Guards against a truncated answer that looks complete, directly and through a relay.
test('a truncated answer closes the connection of the caller', async () => {
  const cut = new RawTarget((_request, response) => {
    response.writeHead(200, { 'content-length': 10 });
    response.write('half', () => setTimeout(() => response.socket!.destroy(), 20));
  });
  const { fleet } = await startTestFleet([cut], 2);
  for (const url of fleet.urls) {
    const answer = await request(`${url}/${SERVICE}/x`);
    expect(answer.statusCode).toBe(200);
    await expect(answer.body.text()).rejects.toThrow();
  }
});

// Guards against a target that continues to work after the caller has disconnected.
test('a caller that disconnects cancels its call, also through a relay', async () => {
  const { fleet, targets } = await startTestFleet([new RawTarget(NEVER_ANSWER)], 2);
  for (const url of fleet.urls) {
    const caller = new AbortController();
    const received = targets[0]!.requests.length;
    const call = request(`${url}/${SERVICE}/x`, { signal: caller.signal, method: 'POST' });
    // A caller that disconnects before its call has reached the target leaves nothing to cancel.
    const callerOutcome = call.then(
      () => 'answered',
      () => 'gone',
    );
    await waitUntil(() => targets[0]!.requests.length > received, ARRIVAL_TIMEOUT_MS);
    caller.abort();
    expect(await callerOutcome).toBe('gone');
  }
  await waitUntil(() => targets[0]!.cancelled === 2, CANCEL_TIMEOUT_MS);
  expect(targets[0]!.cancelled).toBe(2);
});

// Guards against an answer after the deadline, and against a target without its time limit.
test('a call past its deadline ends with 504 and is cancelled at the target', async () => {
  const { fleet, targets } = await startTestFleet([new RawTarget(NEVER_ANSWER)], 2);
  for (const url of fleet.urls) {
    const answer = await request(`${url}/${SERVICE}/x`, {
      method: 'POST',
      headers: { 'limpetknot-timeout-ms': '100' },
    });
    expect(answer.statusCode).toBe(504);
    expect(answer.headers['limpetknot-outcome']).toBe('outcome-unknown');
    await answer.body.dump();
    // The only slot stays occupied until the target has noticed the closed connection.
    await sleep(50);
  }
  expect(targets[0]!.cancelled).toBe(2);
  const timeLeftMs = targets[0]!.headers.map((headers) => Number(headers['limpetknot-timeout-ms']));
  expect(timeLeftMs.every((milliseconds) => milliseconds > 0 && milliseconds <= 100)).toBe(true);
});

// Guards against a large body that is truncated, reordered or buffered completely.
test('a large body is streamed whole, also through a relay', async () => {
  const { fleet, targets } = await startTestFleet([new RawTarget()], 2);
  const body = 'pit '.repeat(50_000);
  for (const url of fleet.urls) {
    const answer = await request(`${url}/${SERVICE}/x`, { method: 'PUT', body });
    expect(answer.statusCode).toBe(200);
    await answer.body.dump();
  }
  expect(targets[0]!.requests.map((each) => each.body === body)).toEqual([true, true]);
});

// Guards against passing on half of an answer as a complete success: an answer without a length ends
// with its connection, which may have broken off.
test.each(['end', 'reset'] as const)(
  'an answer that is delimited only by its connection is not complete: %s',
  async (ending) => {
    const cut = new RawTarget((_request, { socket }) => {
      const bytes = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of an ans';
      socket!.write(bytes, () => {
        if (ending === 'end') socket!.end();
        else setTimeout(() => socket!.resetAndDestroy(), 10);
      });
    });
    const { fleet } = await startTestFleet([cut], 1);
    const received = request(`${fleet.urls[0]}/${SERVICE}/x`, { method: 'POST', body: 'x' }).then(
      async ({ statusCode, body }) => ({ statusCode, text: await body.text() }),
    );
    const outcome = await received.catch(() => null);
    expect(outcome === null || outcome.statusCode === 502).toBe(true);
  },
);
