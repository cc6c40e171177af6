import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type Server } from 'node:http';
import { type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { Err, Ok } from 'ts-results';

import { runControl } from '../src/control';
import { freePort } from '../standins';

import { FakeFleet, fakeContext, smallSheet, startOperatorServer } from './operatorFakes';

const CONTROL = join(__dirname, '..', 'bin', 'limpetknotctl.js');
const folder = mkdtempSync(join(tmpdir(), 'limpetknotctl-'));
const servers: Server[] = [];
const goodSheet = join(folder, 'good.csv');
const badSheet = join(folder, 'bad.csv');

beforeAll(() => {
  writeFileSync(goodSheet, smallSheet(7).text);
  writeFileSync(badSheet, smallSheet(7).text.replace('zone-1,region-1', 'Zone 1,region-1'));
});

afterAll(() => {
  for (const server of servers) {
    server.close();
    server.closeAllConnections();
  }
  rmSync(folder, { recursive: true });
});

async function startFakeGateway() {
  const fleet = new FakeFleet('host-1', smallSheet(1));
  const { server, port } = await startOperatorServer(fakeContext('host-1', fleet));
  servers.push(server);
  fleet.submitResult = Ok({ orderId: 'made', epoch: 2, unchanged: false });
  return { fleet, address: `127.0.0.1:${port}` };
}

/** Starts a server that accepts a request and closes the connection without a response. */
async function startSilentGateway(): Promise<string> {
  const server = createServer((request) => request.socket.destroy());
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function runCommand(line: string, gateways: readonly string[] = []) {
  let out = '';
  let err = '';
  const code = await runControl({
    arguments: line.split(' ').filter((word) => word !== ''),
    environment: { LIMPETKNOT_GATEWAYS: gateways.length === 0 ? undefined : gateways.join() },
    out: (text) => {
      out += text;
    },
    err: (text) => {
      err += text;
    },
    newOrderId: () => 'made',
  });
  return { code, out, err };
}

// Guards against a wrong or incomplete command that a script takes for a success.
test.each([
  '',
  'reboot',
  'sheet',
  'zone out',
  'zone out a b',
  'zone back a --force',
  'status --gateways here',
  'status --order-id a_b',
  'sheet check /no/such/file',
])('wrong usage: %s', async (line) => {
  expect((await runCommand(line)).code).toBe(2);
});

// Guards against changes to the exit codes and output that scripts rely on.
test('sheet check', async () => {
  expect(await runCommand(`sheet check ${goodSheet}`)).toMatchObject({ code: 0, err: '' });
  const bad = await runCommand(`sheet check ${badSheet}`);
  expect(bad.code).toBe(1);
  expect(bad.err).toContain('zones.zone: must be lower-case letters');
  expect(bad.err).toContain("hosts.zone: 'zone-1' is not in section [zones]");
  const json = await runCommand(`sheet check ${badSheet} --json`);
  expect(JSON.parse(json.out).errors.length).toBe(bad.err.trim().split('\n').length);
});

// Guards against an installed program that fails although the library works.
test('the installed command prints help and version and sets exit codes', () => {
  const runInstalled = (...words: string[]) =>
    spawnSync(process.execPath, [CONTROL, ...words], { encoding: 'utf8' });
  expect(runInstalled('--help').stdout).toContain('zone out ZONE [--force]');
  expect(runInstalled('--version').stdout).toMatch(/^limpetknotctl \d/);
  expect(runInstalled('sheet', 'check', goodSheet).status).toBe(0);
  expect(runInstalled('sheet', 'check', badSheet).status).toBe(1);
  expect(runInstalled('sheet').status).toBe(2);
});

// Guards against losing an order because one gateway is down, or submitting it under two ids.
test('retries an order at the next gateway with the same id', async () => {
  const down = `127.0.0.1:${await freePort()}`;
  const [unready, ready] = [await startFakeGateway(), await startFakeGateway()];
  unready.fleet.submitResult = Err({ kind: 'not-ready', detail: 'starting' });
  const gateways = [down, unready.address, await startSilentGateway(), ready.address];
  expect((await runCommand('zone out zone-1 --force', gateways)).code).toBe(0);
  const order = { kind: 'zone-out', id: 'made', zone: 'zone-1', force: true };
  expect([unready.fleet.submittedOrders, ready.fleet.submittedOrders]).toEqual([[order], [order]]);
  expect((await runCommand('zone back zone-1 --order-id again', [ready.address])).code).toBe(0);
  expect(ready.fleet.submittedOrders[1]).toEqual({
    kind: 'zone-back',
    id: 'again',
    zone: 'zone-1',
  });
});

// Guards against reporting an unknown outcome as refused or unreachable.
test('exit codes distinguish refused, unreachable and unknown', async () => {
  const down = `127.0.0.1:${await freePort()}`;
  const silent = await startSilentGateway();
  const { fleet, address } = await startFakeGateway();
  expect((await runCommand('zone out zone-1', [down])).code).toBe(3);
  expect((await runCommand('status', [down])).code).toBe(3);
  fleet.submitResult = Err({ kind: 'not-ready', detail: 'starting' });
  expect((await runCommand('zone out zone-1', [down, address])).code).toBe(1);
  const unknown = await runCommand('zone out zone-1', [silent, address]);
  expect(unknown.code).toBe(4);
  expect(unknown.err).toContain('--order-id made');
  fleet.submitResult = Err({ kind: 'outcome-unknown', detail: 'no majority answered' });
  expect((await runCommand(`sheet load ${goodSheet}`, [address])).code).toBe(4);
  fleet.submitResult = Err({ kind: 'conflict', detail: 'order o-9 was first' });
  const conflict = await runCommand('zone out zone-1', [silent, address]);
  expect(conflict.code).toBe(1);
  expect(conflict.err).toContain('o-9');
  const before = fleet.submittedOrders.length;
  expect((await runCommand(`sheet load ${badSheet}`, [address])).code).toBe(1);
  expect(fleet.submittedOrders).toHaveLength(before);
});

// Guards against a status that omits unreachable gateways.
test('status queries all hosts of the sheet', async () => {
  const ports = [await freePort(), await freePort(), await freePort()];
  const sheet = smallSheet(3, ports);
  for (const id of [1, 2]) {
    const fleet = new FakeFleet(`host-${id}`, sheet);
    const started = await startOperatorServer(fakeContext(`host-${id}`, fleet), ports[id - 1]);
    servers.push(started.server);
  }
  const address = [`127.0.0.1:${ports[1]}`];
  const { code, out } = await runCommand('status', address);
  expect(code).toBe(0);
  expect(out).toMatch(/host-1 +zone-1 +ready +yes +1 +3 +3/);
  expect(out).toMatch(/host-3 +zone-1 +no answer/);
  expect(out).toMatch(/zone-without-capacity +zone-1/);
  const json = JSON.parse((await runCommand('status --json', address)).out);
  expect(json.gateways.map(({ status }: { status: unknown }) => status !== null)).toEqual([
    true,
    true,
    false,
  ]);
  expect((await runCommand('sheet show', address)).out).toBe(sheet.text);
});
