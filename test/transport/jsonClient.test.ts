import { createServer, type Server, type ServerResponse } from 'node:http';
import { type AddressInfo } from 'node:net';
import { gzipSync } from 'node:zlib';

import { SystemClock } from '../../src/runtime';
import { JsonClient } from '../../src/transport';

const DEADLINE_MS = 200;

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

describe('requests for JSON', () => {
  const clock = new SystemClock();

  let server: Server;

  let client: JsonClient;

  let respond: (response: ServerResponse) => void = () => {};

  beforeEach(async () => {
    server = createServer((request, response) => respond(response));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    client = new JsonClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, clock);
  });

  afterEach(() => {
    client.close();
    server.close();
    server.closeAllConnections();
  });

  const get = () => client.get('/x', clock.now() + DEADLINE_MS);

  // Guards against a host on a slow link that never gets a large reply and begins again each time.
  it('reads a reply that keeps arriving after the deadline', async () => {
    respond = (response) => {
      void (async () => {
        response.write('[1');
        for (let part = 0; part < 8; part += 1) {
          await sleep(80);
          response.write(',1');
        }
        response.end(']');
      })();
    };
    expect((await get()).unwrap().body).toEqual([1, 1, 1, 1, 1, 1, 1, 1, 1]);
  });

  // Guards against a request that waits for ever for the rest of a reply, or for its beginning.
  it.each(['', '[1'])('fails when nothing more arrives after %j', async (begin) => {
    respond = (response) => {
      response.writeHead(200);
      if (begin !== '') response.write(begin);
    };
    const startedAt = clock.now();
    const result = await get();
    expect(result.err && result.val.kind).toBe('timeout');
    expect(clock.now() - startedAt).toBeLessThan(2000);
  });

  // Guards against a peer whose reply has no end: memory and time must stay bounded.
  it.each(['plain', 'compressed'])('rejects a reply that is too large: %s', async (form) => {
    const block = Buffer.alloc(1024 * 1024, 32);
    // Compressed beforehand, so that it does not take up the time until the deadline.
    const compressed = gzipSync(Buffer.alloc(20 * block.length, 32));
    respond = (response) => {
      if (form === 'compressed') {
        response.writeHead(200, { 'content-encoding': 'gzip' });
        response.end(compressed);
        return;
      }
      const sendMore = () => {
        while (!response.destroyed && response.write(block));
        if (!response.destroyed) response.once('drain', sendMore);
      };
      sendMore();
    };
    const result = await get();
    expect(result.err && result.val.kind).toBe('unreadable');
  });

  it('decodes a compressed reply', async () => {
    respond = (response) => {
      response.writeHead(200, { 'content-encoding': 'gzip' });
      response.end(gzipSync('{"a":1}'));
    };
    const { status, body } = (await get()).unwrap();
    expect({ status, body }).toEqual({ status: 200, body: { a: 1 } });
  });
});
