import { createServer, type Server } from 'node:http';

import { runControl } from '../src/control';
import { freePort } from '../standins';

const servers: Server[] = [];

afterAll(() => {
  for (const server of servers) {
    server.close();
    server.closeAllConnections();
  }
});

async function startHost(ip: string, port: number, status: object): Promise<void> {
  const server = createServer((_request, response) => response.end(JSON.stringify(status)));
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(port, ip, resolve);
  });
}

const listing = (...numbers: number[]) =>
  numbers.map((number) => ({ id: `host-${number}`, zone: 'a', ip: `127.0.0.${number}` }));
const quota = (tenant: string, granted: number) => ({
  ...{ tenant, granted, tokens: 3, isRestricted: false },
});

async function showTenants(address: string, ...options: string[]) {
  let out = '';
  const code = await runControl({
    arguments: ['tenants', address, ...options],
    environment: {},
    out: (text) => {
      out += text;
    },
    err: () => {},
    newOrderId: () => 'none',
  });
  return { code, out };
}

// Guards against a host that is left out because the first one does not list it, against a host without an
// answer that hides the others, and against the use of a quota that is counted at one of its owners only.
test('tenants shows the proofs of all hosts and sums the quotas', async () => {
  const port = await freePort();
  const proof = { ageMs: 700, leftMs: 4100, mayUseKeys: true };
  const expired = { ageMs: null, leftMs: 0, mayUseKeys: false };
  const host = (number: number) => ({ host: `host-${number}`, zone: 'a' });
  const quotas = [quota('red', 5), quota('blue', 1)];
  await startHost('127.0.0.1', port, { ...host(1), proof, quotas, hosts: listing(2, 4) });
  const others = { quotas: [quota('red', 7)], hosts: listing(1, 3) };
  await startHost('127.0.0.2', port, { ...host(2), proof: expired, ...others });
  await startHost('127.0.0.3', port, { ...host(3), proof: null, quotas: [], hosts: [] });
  const { code, out } = await showTenants(`127.0.0.1:${port}`);
  expect(code).toBe(0);
  expect(out).toMatch(/host-1 +a +used +4\.1 s +0\.7 s\n/);
  expect(out).toMatch(/host-2 +a +REFUSED +0\.0 s +-\n/);
  expect(out).toMatch(/host-3 +a +no tenants/);
  expect(out).toMatch(/host-4 +a +no answer: /);
  expect(out).toMatch(/blue +host-1 +1 +3 +no\n/);
  expect(out).toMatch(/red +host-1, host-2 +12 +6 +no\n/);
  const json = JSON.parse((await showTenants(`127.0.0.1:${port}`, '--json')).out) as object;
  expect(json).toMatchObject({ quotas: [{ tenant: 'blue' }, { tenant: 'red', granted: 12 }] });
  expect((await showTenants(`127.0.0.1:${await freePort()}`)).code).toBe(3);
  expect((await showTenants('here')).code).toBe(2);
});
