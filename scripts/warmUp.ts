import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { freePort } from '../standins/freePort';
import { ServerStandin } from '../standins/server/serverStandin';
import { configurationValue, serverValue } from '../standins/store/publishedValues';
import { StoreStandin } from '../standins/store/storeStandin';

// A restarted host answers its first calls with the code that these calls compile.
const CALL_COUNT = 120;
const TARGET_COUNT = 3;
// Time limit for the daemon to become ready.
const READY_TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 20;

/** Settings and actions of the warm-up run of the daemon. */
export interface WarmUp {
  /** Path of the daemon's settings file. */
  readonly settingsFile: string;
  /** Waits until the daemon is ready, sends calls and waits for the responses. */
  run(): Promise<void>;
  close(): void;
}

function delay(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

function call(port: number, path: string, agent: Agent, body: string | null): Promise<number> {
  return new Promise((resolve, reject) => {
    const headers = {
      ...{ host: 'test.example', 'request-id': `warm-${Math.floor(performance.now() * 1000)}` },
      'deadline-ms': '1000',
      ...(body === null ? {} : { 'content-length': String(body.length) }),
    };
    const method = body === null ? 'GET' : 'POST';
    const sent = request({ host: '127.0.0.1', port, method, path, agent, headers }, (answer) => {
      answer.resume();
      answer.on('end', () => resolve(answer.statusCode ?? 0));
    });
    sent.on('error', reject);
    sent.end(body ?? undefined);
  });
}

async function waitUntilReady(port: number): Promise<void> {
  const agent = new Agent();
  const deadlineMs = performance.now() + READY_TIMEOUT_MS;
  while ((await call(port, '/readyz', agent, null).catch(() => 0)) !== 200) {
    if (performance.now() > deadlineMs) throw new Error('the daemon did not become ready');
    await delay(POLL_INTERVAL_MS);
  }
}

/** Starts a store and servers on loopback for a daemon that compiles what a host first needs. */
export async function prepareWarmUp(): Promise<WarmUp> {
  const store = new StoreStandin();
  const source = await store.listen();
  const servers: ServerStandin[] = [];
  for (let index = 0; index < TARGET_COUNT; index += 1) {
    const options = { id: `t${index}`, workMs: 3, slots: 6, tellsLoad: true };
    const server = new ServerStandin(options);
    store.put(`servers/${options.id}`, serverValue('books', options, await server.listen()));
    servers.push(server);
  }
  const route = { service: 'books', timeLimitMs: 1000, objectiveMs: 100 };
  store.put(
    'op/config',
    configurationValue(1, [
      { ...route, prefix: '/read/', isIdempotent: true },
      { ...route, prefix: '/book/', isIdempotent: false },
    ]),
  );
  const callerPort = await freePort();
  const readinessPort = await freePort();
  const folder = mkdtempSync(join(tmpdir(), 'limpetknot-warm-up-'));
  const settingsFile = join(folder, 'settings');
  const settings = {
    'host-id': 'warm-up-1',
    zone: 'a',
    zones: 'a,b',
    'caller-address': `127.0.0.1:${callerPort}`,
    'readiness-address': `127.0.0.1:${readinessPort}`,
    'control-address': `127.0.0.1:${await freePort()}`,
    'exchange-port': String(await freePort()),
    source,
  };
  const lines = Object.entries(settings).map(([name, value]) => `${name}=${value}`);
  writeFileSync(settingsFile, `${lines.join('\n')}\n`);
  return {
    settingsFile,
    run: async () => {
      await waitUntilReady(readinessPort);
      const agent = new Agent({ keepAlive: true, maxSockets: 4 });
      const isWrite = (index: number) => index % 3 === 0;
      const calls = Array.from({ length: CALL_COUNT }, (_none, index) =>
        isWrite(index)
          ? call(callerPort, `/book/${index}`, agent, 'seat')
          : call(callerPort, `/read/${index}`, agent, null),
      );
      await Promise.all(calls);
      agent.destroy();
    },
    close: () => {
      store.close();
      for (const server of servers) server.crash();
      rmSync(folder, { recursive: true });
    },
  };
}
