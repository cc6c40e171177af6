import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { createServer, type Server } from 'node:net';
import { join } from 'node:path';

import { freePort, gatewayFlags, PlatformStandin, sheetText } from '../standins';

const GATEWAY = join(__dirname, '..', 'bin', 'limpetknot-gateway.js');
const SERVICE = { name: 'round-sheet', targets: [{ id: 't-1', zone: 'zone-1', port: 9 }] };
const PORTS = ['callerPort', 'relayPort', 'peerPort', 'operatorPort'] as const;

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

async function until(condition: () => boolean): Promise<void> {
  const deadline = performance.now() + 20_000;
  while (!condition()) {
    if (performance.now() > deadline) throw new Error('condition was not met in time');
    await sleep(20);
  }
}

/** A gateway that starts while another process holds one of its ports. */
async function startBlocked(port: (typeof PORTS)[number], platform: PlatformStandin) {
  const host = {
    ...{ id: 'host-1', zone: 'zone-1', callerPort: await freePort(), relayPort: await freePort() },
    ...{ peerPort: await freePort(), operatorPort: await freePort() },
  };
  platform.publish(
    sheetText({ version: 1, zones: ['zone-1'], hosts: [host], services: [SERVICE] }),
  );
  const url = await platform.start();
  const holder: Server = createServer().listen(host[port], '127.0.0.1');
  await once(holder, 'listening');
  const extraFlags = { 'notice-period': 200, 'peer-secret': 'a-secret-for-tests-only' };
  const flags = gatewayFlags(host, url, extraFlags);
  const child: ChildProcess = spawn(process.execPath, [GATEWAY, ...flags]);
  const run = { child, holder, output: '', exited: once(child, 'exit') };
  child.stdout!.on('data', (chunk: Buffer) => {
    run.output += chunk.toString();
  });
  return run;
}

// Guards against a gateway that exits because another process holds one of its ports.
test.concurrent.each(PORTS)(
  'a gateway waits for a port that is taken: %s',
  async (port) => {
    const platform = new PlatformStandin();
    const run = await startBlocked(port, platform);
    try {
      await until(() => run.output.includes('"event":1409') || run.child.exitCode !== null);
      await sleep(1500);
      expect(run.child.exitCode).toBe(null);
      expect(run.output.match(/"event":1409/g)).toHaveLength(1);
      run.holder.close();
      await until(() => run.output.includes('gateway ready'));
      run.child.kill('SIGTERM');
      expect(await run.exited).toEqual([0, null]);
    } finally {
      run.child.kill('SIGKILL');
      run.holder.close();
      await platform.stop();
    }
  },
  40_000,
);

// Guards against a stop that a port keeps from coming.
test.concurrent.each(PORTS)(
  'a gateway stops while it waits for a port: %s',
  async (port) => {
    const platform = new PlatformStandin();
    const run = await startBlocked(port, platform);
    await until(() => run.output.includes('"event":1409') || run.child.exitCode !== null);
    run.child.kill('SIGTERM');
    expect(await run.exited).toEqual([0, null]);
    run.holder.close();
    await platform.stop();
  },
  40_000,
);

// Guards against a gateway that ends without a line of its log that says why.
test.each(['throw null', 'Promise.reject(new Error("null"))'])(
  'a gateway logs the error that ends it: %s',
  async (failure) => {
    const flags = ['--host-id', 'host-1', '--zone', 'zone-1', '--peer-port', '0'];
    const urls = [
      '--configuration-url',
      'http://127.0.0.1:1',
      '--host-list-url',
      'http://127.0.0.1:1',
    ];
    const secret = ['--peer-secret', 'a-secret-for-tests-only'];
    const main = JSON.stringify(join(__dirname, '..', 'dist', 'src', 'gateway'));
    const program = `require(${main}).main(process.argv.slice(1)); setTimeout(() => { ${failure}; }, 100)`;
    const child = spawn(process.execPath, ['-e', program, '--', ...flags, ...urls, ...secret]);
    let output = '';
    child.stdout.on('data', (chunk: Buffer) => {
      output += chunk.toString();
    });
    expect(await once(child, 'close')).toEqual([1, null]);
    const last = JSON.parse(output.trim().split('\n').at(-1)!) as object;
    expect(last).toMatchObject({ event: 1411, code: 1, reason: expect.stringContaining('null') });
  },
);
