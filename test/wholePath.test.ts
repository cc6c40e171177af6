import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { join } from 'node:path';

import { request } from 'undici';

import { freePort, gatewayFlags, PlatformStandin, sheetText, TargetStandin } from '../standins';

const GATEWAY = join(__dirname, '..', 'bin', 'limpetknot-gateway.js');
const SECRET = 'a-secret-for-tests-only';

function startGateway(flags: readonly string[]): ChildProcess {
  return spawn(process.execPath, [GATEWAY, ...flags], { stdio: ['ignore', 'pipe', 'inherit'] });
}

/** Collects the output of a gateway for the message of a failed expectation. */
function collectOutput(gateway: ChildProcess): string[] {
  const lines: string[] = [];
  gateway.stdout!.on('data', (chunk: Buffer) => lines.push(...chunk.toString().split('\n')));
  return lines;
}

// A fleet of two hosts is ready within 6 s on an idle machine. When the timeout expires, the error
// contains the log of the gateway, which gives the reason.
const READY_TIMEOUT_MS = 20_000;

async function waitUntilReady(gateway: ChildProcess, output: readonly string[]): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    const fail = (reason: string) => reject(new Error(`${reason}: ${output.join('\n')}`));
    const timer = setTimeout(() => fail('gateway not ready'), READY_TIMEOUT_MS);
    gateway.stdout!.on('data', () => {
      if (!output.some((line) => line.includes('gateway ready'))) return;
      clearTimeout(timer);
      resolve();
    });
    gateway.once('exit', (code) => {
      clearTimeout(timer);
      fail(`gateway exited with ${code}`);
    });
  });
}

// End-to-end test with two gateway processes and one target: calls to either gateway reach the
// target, directly from its owner and through a relay from the other host. It fails when any part of
// this path is broken.
test('calls reach the target through the entry host and through a relay', async () => {
  const target = new TargetStandin('t-1');
  const targetPort = await target.start();
  const hosts = await Promise.all(
    ['host-1', 'host-2'].map(async (id) => ({
      id,
      zone: 'zone-1',
      callerPort: await freePort(),
      relayPort: await freePort(),
      peerPort: await freePort(),
      operatorPort: await freePort(),
    })),
  );
  const platform = new PlatformStandin();
  platform.publish(
    sheetText({
      version: 1,
      zones: ['zone-1'],
      hosts,
      services: [
        { name: 'round-sheet', targets: [{ id: 't-1', zone: 'zone-1', port: targetPort }] },
      ],
    }),
  );
  const platformUrl = await platform.start();
  const gateways = hosts.map((host) =>
    startGateway(gatewayFlags(host, platformUrl, { 'notice-period': 200, 'peer-secret': SECRET })),
  );
  const outputs = gateways.map(collectOutput);
  try {
    await Promise.all(gateways.map((gateway, index) => waitUntilReady(gateway, outputs[index]!)));
    for (const host of hosts) {
      const answer = await request(`http://127.0.0.1:${host.callerPort}/round-sheet/pits/7?a=1`, {
        method: 'POST',
        body: 'close-out',
      });
      // The body and the logs show the cause of a failure.
      expect({
        status: answer.statusCode,
        body: await answer.body.json(),
        ...(answer.statusCode === 200 ? {} : { logs: outputs }),
      }).toEqual({ status: 200, body: { target: 't-1', path: '/pits/7?a=1', bytes: 9 } });
    }
    expect(target.runs).toHaveLength(2);
    const unknown = await request(`http://127.0.0.1:${hosts[0]!.callerPort}/nothing`);
    expect(unknown.statusCode).toBe(404);
    expect(await unknown.body.json()).toMatchObject({ type: 'urn:limpetknot:problem:not-run' });
  } finally {
    const running = gateways.filter((gateway) => gateway.exitCode === null);
    const exits = running.map((gateway) => once(gateway, 'exit'));
    gateways.forEach((gateway) => gateway.kill('SIGTERM'));
    expect(await Promise.all(exits)).toEqual([
      [0, null],
      [0, null],
    ]);
    await platform.stop();
    await target.stop();
  }
});
