import { request } from 'undici';

import { type LocalFleet, startLocalFleet } from '../support/localFleet';
import { MemoryNetwork } from '../support/memoryTransport';
import { RawTarget } from '../support/rawTarget';

let fleet: LocalFleet;
let target: RawTarget;

async function post(host: number, key: string, path = '/tip') {
  const answer = await request(`${fleet.urls[host]}/dockets${path}`, {
    method: 'POST',
    headers: { 'idempotency-key': key },
    body: 'x',
  });
  const text = await answer.body.text();
  return { status: answer.statusCode, type: answer.headers['content-type'], text };
}

beforeAll(async () => {
  target = new RawTarget((incoming, response) => {
    const { length } = target.requests;
    const lost = incoming.url!.includes('lost');
    setTimeout(() => {
      if (lost) response.socket!.destroy();
      else response.writeHead(201, { 'content-type': 'text/x-docket' }).end(`docket ${length}`);
    }, 60);
  });
  const port = await target.start();
  const network = new MemoryNetwork();
  fleet = await startLocalFleet({
    hosts: 3,
    transport: (hostId) => network.transport(hostId),
    services: [{ name: 'dockets', targets: [{ id: 't-1', zone: 'zone-1', port }] }],
  });
  // A home that awaits the reports of the others is asked again after 100 ms; by then the first of
  // concurrent calls may have ended, and the others get its answer. These keys have all three homes.
  await Promise.all(Array.from({ length: 12 }, (_none, index) => post(0, `first-${index}`)));
});

afterAll(async () => {
  await target.stop();
  await fleet.stop();
});

// Guards against a call that takes effect twice (a docket billed twice) because it was retried.
test('a retry through any host gets the first answer and is not run', async () => {
  const before = target.requests.length;
  const first = await post(0, 'k-1');
  expect(first).toMatchObject({ status: 201, type: 'text/x-docket' });
  expect(await post(1, 'k-1')).toEqual(first);
  expect(await post(2, 'k-1')).toEqual(first);
  expect(target.requests.length - before).toBe(1);
});

// Guards against running two simultaneous calls with the same key.
test('of concurrent calls with the same key, one runs and the others are duplicates', async () => {
  const before = target.requests.length;
  const answers = await Promise.all([0, 1, 2, 0, 1, 2].map((host) => post(host, 'k-2')));
  expect(answers.map((each) => each.status).sort()).toEqual([201, 409, 409, 409, 409, 409]);
  expect(target.requests.length - before).toBe(1);
  const refused = answers.find((each) => each.status === 409)!;
  expect(JSON.parse(refused.text)).toMatchObject({ type: 'urn:limpetknot:problem:duplicate' });
});

// Guards against answering a different request with the stored answer of a reused key.
test('a key that was used for a different request is refused', async () => {
  await post(0, 'k-3');
  const other = await post(1, 'k-3', '/other');
  expect(other.status).toBe(422);
  expect(JSON.parse(other.text)).toMatchObject({ reason: 'key-reused' });
});

// Guards against running a retry although the first call may have run.
test('a retry after an unknown outcome is not run', async () => {
  const before = target.requests.length;
  expect((await post(0, 'k-4', '/lost')).status).toBe(502);
  expect((await post(1, 'k-4', '/lost')).status).toBe(409);
  expect(target.requests.length - before).toBe(1);
});

// Guards against storing keys of unbounded length.
test('a key that is too long is refused', async () => {
  expect((await post(0, 'k'.repeat(300))).status).toBe(400);
});
