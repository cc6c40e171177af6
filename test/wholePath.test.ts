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

async function started(gateway: ChildProcess): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    let output = '';
    gateway.stdout!.on('data', (chunk: Buffer) => {
      output += chunk.toString();
      if (output.includes('gateway ready')) resolve();
    });
    gateway.once('exit', (code) => reject(new Error(`gateway exited with ${code}: ${output}`)));
  });
}

// Guards against a break anywhere between a caller, two gateway processes and a target.
test('calls go through the entry and through a relay to the target', async () => {
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
  try {
    await Promise.all(gateways.map(started));
    for (const host of hosts) {
      const answer = await request(`http://127.0.0.1:${host.callerPort}/round-sheet/pits/7?a=1`, {
        method: 'POST',
        body: 'close-out',
      });
      expect(answer.statusCode).toBe(200);
      expect(await answer.body.json()).toEqual({ target: 't-1', path: '/pits/7?a=1', bytes: 9 });
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
