import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { freePort } from '../standins/freePort';
import { ServerStandin } from '../standins/server/serverStandin';
import { configurationValue, serverValue } from '../standins/store/publishedValues';
import { StoreStandin } from '../standins/store/storeStandin';

// A host that starts again answers its first calls with what these calls compile.
const CALLS = 120;
const TARGETS = 3;
// Time in which the daemon must be ready and each call answered.
const READY_LIMIT_MS = 10_000;
const POLL_MS = 20;

/** What the daemon is started with, and what is done with it then. */
export interface WarmUp {
  /** Path of its settings. */
  readonly settingsFile: string;
  /** Waits until it is ready, sends calls and waits for their answers. */
  run(): Promise<void>;
  close(): void;
}

function sleep(milliseconds: number): Promise<void> {
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

async function untilReady(port: number): Promise<void> {
  const agent = new Agent();
  const end = performance.now() + READY_LIMIT_MS;
  while ((await call(port, '/readyz', agent, null).catch(() => 0)) !== 200) {
    if (performance.now() > end) throw new Error('the daemon did not become ready');
    await sleep(POLL_MS);
  }
}

/** Starts a store and servers on loopback for a daemon that is to compile what a host's first seconds need. */
export async function prepareWarmUp(): Promise<WarmUp> {
  const store = new StoreStandin();
  const source = await store.listen();
  const servers: ServerStandin[] = [];
  for (let index = 0; index < TARGETS; index += 1) {
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
      await untilReady(readinessPort);
      const agent = new Agent({ keepAlive: true, maxSockets: 4 });
      const isWrite = (index: number) => index % 3 === 0;
      const calls = Array.from({ length: CALLS }, (_none, index) =>
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
