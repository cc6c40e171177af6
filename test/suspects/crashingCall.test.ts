import { type IncomingMessage, type ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import { request } from 'undici';

import { type LocalFleet, startLocalFleet } from '../support/localFleet';
import { MemoryNetwork } from '../support/memoryTransport';
import { RawTarget } from '../support/rawTarget';

const SERVICE = 'guide';

/** A target process that crashes on a certain call and is restarted by its supervisor. */
class CrashingTarget {
  starts = 0;

  port = 0;

  private current: RawTarget | null = null;

  async start(): Promise<number> {
    this.starts += 1;
    const instance = `start-${this.starts}`;
    this.current = new RawTarget((incoming, response) => this.handle(incoming, response, instance));
    this.port = await this.current.start(this.port);
    return this.port;
  }

  async stop(): Promise<void> {
    await this.current?.stop();
  }

  private handle(incoming: IncomingMessage, response: ServerResponse, instance: string): void {
    if (incoming.url !== '/crash') {
      response.writeHead(200, { 'limpetknot-target-instance': instance }).end('ok');
      return;
    }
    const ended = this.current!;
    void ended
      .stop()
      .then(() => sleep(100))
      .then(() => this.start());
  }
}

let fleet: LocalFleet;
const targets = Array.from({ length: 4 }, () => new CrashingTarget());

beforeAll(async () => {
  const ports = await Promise.all(targets.map((target) => target.start()));
  const network = new MemoryNetwork();
  fleet = await startLocalFleet({
    hosts: 2,
    transport: (hostId) => network.transport(hostId),
    services: [
      {
        name: SERVICE,
        targets: ports.map((port, index) => ({ id: `t-${index}`, zone: 'zone-1', port })),
      },
    ],
  });
});

afterAll(async () => {
  await sleep(300);
  await Promise.all(targets.map((target) => target.stop()));
  await fleet.stop();
});

async function call(host: number, method: 'GET' | 'POST', path: string): Promise<number> {
  const answer = await request(`${fleet.urls[host]}/${SERVICE}${path}`, { method });
  await answer.body.dump();
  return answer.statusCode;
}

/** Ordinary calls show the gateways which targets refuse connections or have restarted. */
async function ordinaryCalls(): Promise<void> {
  for (let index = 0; index < 24; index += 1) await call(index % 2, 'GET', `/ordinary-${index}`);
}

// Guards against a call that its caller keeps retrying and that crashes one target after the other.
test('a call that crashes targets is refused by all hosts after few crashes', async () => {
  const statuses: number[] = [];
  for (let attempt = 0; attempt < 12; attempt += 1) {
    await ordinaryCalls();
    statuses.push(await call(attempt % 2, 'POST', '/crash'));
    await ordinaryCalls();
    await sleep(150);
  }
  expect(statuses.slice(-2)).toEqual([422, 422]);
  expect(statuses.filter((status) => status === 502).length).toBeLessThanOrEqual(4);
  expect(await call(0, 'GET', '/ordinary')).toBe(200);
});
