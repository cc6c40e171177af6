import { stat } from 'node:fs/promises';
import { Worker } from 'node:worker_threads';

import { platformCallProtocol } from '../../platform/callProtocol';
import { type Target } from '../../src/catalog';
import { TargetConnection } from '../../src/delivery';
import { TargetProbe } from '../../src/delivery/targetProbe';
import { SystemClock } from '../../src/runtime';

const SERVER_CODE = `
  const { parentPort } = require('node:worker_threads');
  const server = require('node:http').createServer((request, response) => response.end('x'));
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

/** Blocks the event loop. */
function holdUp(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
}

describe('a process whose event loop is held up', () => {
  const clock = new SystemClock();

  let server: Worker;

  let address: string;

  beforeEach(async () => {
    server = new Worker(SERVER_CODE, { eval: true });
    const port = await new Promise<number>((resolve) => {
      server.once('message', resolve);
    });
    address = `127.0.0.1:${port}`;
  });

  afterEach(() => server.terminate());

  /** Runs `begin` and holds the event loop, so that the timers it has set fire before any input. */
  function beginAndHoldUp<Value>(begin: () => Promise<Value>, milliseconds: number) {
    return new Promise<Value>((resolve, reject) => {
      // Timers that are due after the callback of a file run before further input is read.
      void stat(__filename).then(() => {
        begin().then(resolve, reject);
        holdUp(milliseconds);
      });
    });
  }

  // Guards against a sound target that is called lost since its answer was not read in time; the time
  // limits are 150 ms for a connection and 250 ms for a health check.
  it.each([170, 400])('opens a connection after %d ms', async (milliseconds) => {
    const connection = new TargetConnection(address, clock, () => {});
    const end = await beginAndHoldUp(
      () =>
        new Promise<string>((resolve) => {
          connection.send(
            { method: 'GET', path: '/x', headers: ['host', address], body: null },
            {
              withdrawal: () => null,
              onSent: () => {},
              onHead: () => {},
              onData: () => true,
              onEnd: () => resolve('answered'),
              onError: ({ message }) => resolve(message),
            },
          );
        }),
      milliseconds,
    );
    connection.close();
    expect(end).toBe('answered');
  });

  it('reads the answer to a health check after 270 ms', async () => {
    const target = { id: 'i-1', address } as Target;
    const service = { name: 's', probePath: '/healthz' } as Parameters<TargetProbe['send']>[0];
    const probe = new TargetProbe(
      target,
      platformCallProtocol,
      clock,
      () => {},
      () => {},
    );
    await probe.send(service);
    const report = await beginAndHoldUp(() => probe.send(service), 270);
    probe.close();
    expect(report?.observation).toBe('probe');
  });
});
