import { connect, type Socket } from 'node:net';

import { DEFAULT_REQUEST_LIMITS } from '../src/forwarding';

import { type LocalFleet, startLocalFleet } from './support/localFleet';
import { RawTarget } from './support/rawTarget';

const HOST = 'Host: gateway\r\n';

let fleet: LocalFleet;
let target: RawTarget;
let port: number;

beforeAll(async () => {
  target = new RawTarget((request, response) => {
    if (request.method === 'POST') {
      response.writeHead(200, { trailer: 'x-sum' });
      response.write('hello');
      response.addTrailers({ 'x-sum': '1' });
      response.end();
    } else if (request.url === '/empty') response.writeHead(204).end();
    else if (request.url === '/same') response.writeHead(304, { etag: '"1"' }).end();
    else response.end('hello');
  });
  const targetPort = await target.start();
  fleet = await startLocalFleet({
    requestLimits: {
      ...DEFAULT_REQUEST_LIMITS,
      headersTimeout: 300,
      connectionsCheckingInterval: 100,
    },
    services: [
      {
        name: 'guide',
        timeLimitMs: 400,
        targets: [{ id: 't-1', zone: 'zone-1', port: targetPort }],
      },
    ],
  });
  port = fleet.gateways[0]!.callerPort;
});

afterAll(async () => {
  await target.stop();
  await fleet.stop();
});

beforeEach(() => {
  target.requests.length = 0;
  target.headers.length = 0;
});

function open(): Promise<Socket> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, '127.0.0.1', () => resolve(socket));
    socket.once('error', reject);
  });
}

/** Sends bytes and returns all that comes back until the connection closes or `quiet` passes. */
async function exchange(text: string, quiet = 250): Promise<string> {
  const socket = await open();
  return new Promise((resolve) => {
    let received = '';
    let timer: NodeJS.Timeout;
    const finish = () => {
      clearTimeout(timer);
      socket.destroy();
      resolve(received);
    };
    timer = setTimeout(finish, quiet);
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
    });
    socket.on('error', () => {});
    socket.once('close', finish);
    socket.write(Buffer.from(text, 'latin1'));
  });
}

const REFUSED: readonly (readonly [string, string, number])[] = [
  [
    'Content-Length with Transfer-Encoding',
    `POST /guide/a HTTP/1.1\r\n${HOST}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
    400,
  ],
  [
    'Transfer-Encoding with Content-Length',
    `POST /guide/a HTTP/1.1\r\n${HOST}Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n`,
    400,
  ],
  [
    'two equal Content-Length headers',
    `POST /guide/a HTTP/1.1\r\n${HOST}Content-Length: 1\r\nContent-Length: 1\r\n\r\na`,
    400,
  ],
  [
    'two different Content-Length headers',
    `POST /guide/a HTTP/1.1\r\n${HOST}Content-Length: 1\r\nContent-Length: 2\r\n\r\na`,
    400,
  ],
  [
    'a Content-Length with a sign',
    `POST /guide/a HTTP/1.1\r\n${HOST}Content-Length: +1\r\n\r\na`,
    400,
  ],
  [
    'a chunk size that is no number',
    `POST /guide/a HTTP/1.1\r\n${HOST}Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n`,
    400,
  ],
  [
    'a chunk that is longer than its size',
    `POST /guide/a HTTP/1.1\r\n${HOST}Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n`,
    400,
  ],
  [
    'an unknown transfer coding',
    `POST /guide/a HTTP/1.1\r\n${HOST}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n`,
    400,
  ],
  [
    'a transfer coding that hides chunked',
    `POST /guide/a HTTP/1.1\r\n${HOST}Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n`,
    400,
  ],
  ['a header name with a space', `GET /guide/a HTTP/1.1\r\n${HOST}X Y: 1\r\n\r\n`, 400],
  ['a space before the colon', `GET /guide/a HTTP/1.1\r\n${HOST}X-Y : 1\r\n\r\n`, 400],
  ['a bare CR in a header', `GET /guide/a HTTP/1.1\r\n${HOST}X: a\rb\r\n\r\n`, 400],
  ['a bare LF after a header', `GET /guide/a HTTP/1.1\r\n${HOST}X: a\nY: b\r\n\r\n`, 400],
  ['a folded header', `GET /guide/a HTTP/1.1\r\n${HOST}X: a\r\n b\r\n\r\n`, 400],
  ['a null byte in a header', `GET /guide/a HTTP/1.1\r\n${HOST}X: a\0b\r\n\r\n`, 400],
  ['oversized headers', `GET /guide/a HTTP/1.1\r\n${HOST}X: ${'a'.repeat(20_000)}\r\n\r\n`, 431],
  ['an oversized target', `GET /guide/${'a'.repeat(20_000)} HTTP/1.1\r\n${HOST}\r\n`, 431],
  ['no Host', 'GET /guide/a HTTP/1.1\r\n\r\n', 400],
  ['two Hosts', `GET /guide/a HTTP/1.1\r\n${HOST}Host: other\r\n\r\n`, 400],
  ['HTTP/1.0', `GET /guide/a HTTP/1.0\r\n${HOST}\r\n`, 400],
  ['an unknown method', `BREW /guide/a HTTP/1.1\r\n${HOST}\r\n`, 400],
  ['OPTIONS *', `OPTIONS * HTTP/1.1\r\n${HOST}\r\n`, 400],
  ['CONNECT', `CONNECT guide:80 HTTP/1.1\r\n${HOST}\r\n`, 405],
  [
    'an upgrade',
    `GET /guide/a HTTP/1.1\r\n${HOST}Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n`,
    400,
  ],
  [
    'an unknown expectation',
    `POST /guide/a HTTP/1.1\r\n${HOST}Expect: cake\r\nContent-Length: 0\r\n\r\n`,
    400,
  ],
  [
    'a declared body above the limit',
    `POST /guide/a HTTP/1.1\r\n${HOST}Content-Length: 9999999\r\n\r\n`,
    413,
  ],
  [
    'a large body that waits for 100',
    `POST /guide/a HTTP/1.1\r\n${HOST}Expect: 100-continue\r\nContent-Length: 9999999\r\n\r\n`,
    413,
  ],
  [
    'a chunked body above the limit',
    `POST /guide/a HTTP/1.1\r\n${HOST}Transfer-Encoding: chunked\r\n\r\n110000\r\n${'a'.repeat(0x110000)}\r\n0\r\n\r\n`,
    413,
  ],
  ['an empty service', `GET //guide/a HTTP/1.1\r\n${HOST}\r\n`, 404],
  ['a bad time limit', `GET /guide/a HTTP/1.1\r\n${HOST}Limpetknot-Timeout-Ms: 1e3\r\n\r\n`, 400],
];

// Guards against request smuggling and against malformed requests that reach a target.
test.each(REFUSED)('%s is refused with a problem', async (_name, text, status) => {
  const answer = await exchange(text);
  expect(answer).toMatch(new RegExp(`^HTTP/1\\.1 ${status} `));
  expect(answer.toLowerCase()).toContain('content-type: application/problem+json');
  expect(answer).toContain('urn:limpetknot:problem:not-run');
  expect(target.requests).toHaveLength(0);
});

// Guards against a slow body that holds a connection and a call for ever.
test('a body that does not arrive ends with 408 at the deadline', async () => {
  const text = `POST /guide/a HTTP/1.1\r\n${HOST}Content-Length: 10\r\n\r\nabc`;
  expect(await exchange(text, 900)).toMatch(/^HTTP\/1\.1 408 /);
  expect(target.requests).toHaveLength(0);
});

// Guards against headers sent byte by byte that hold a connection for ever.
test('headers that do not arrive end with 408', async () => {
  const text = `GET /guide/a HTTP/1.1\r\n${HOST}X-Slow: `;
  expect(await exchange(text, 1500)).toMatch(/^HTTP\/1\.1 408 /);
  expect(target.requests).toHaveLength(0);
});

// Guards against half a body that counts as a whole one.
test('a body that its caller cuts off reaches no target', async () => {
  const socket = await open();
  socket.end(`POST /guide/a HTTP/1.1\r\n${HOST}Content-Length: 10\r\n\r\nabc`);
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  expect(target.requests).toHaveLength(0);
  socket.destroy();
});

// Guards against a gateway that rewrites paths, so that a target sees another one than its caller.
test.each([
  ['/guide//a/../b', '//a/../b'],
  ['/guide/a%2Fb%2e%2e', '/a%2Fb%2e%2e'],
  ['http://elsewhere/guide/a?b=/c', '/a?b=/c'],
  ['/guide?x=1', '/?x=1'],
  ['/guide', '/'],
])('the target of %s is %s', async (sent, seen) => {
  const answer = await exchange(`GET ${sent} HTTP/1.1\r\n${HOST}Connection: close\r\n\r\n`);
  expect(answer).toMatch(/^HTTP\/1\.1 200 /);
  expect(target.requests.map((each) => each.url)).toEqual([seen]);
});

// Guards against bodies where HTTP allows none, which would desynchronise the connection.
test.each([
  ['HEAD', '/a', 200],
  ['GET', '/empty', 204],
  ['GET', '/same', 304],
])('%s %s has an answer without a body', async (method, path, status) => {
  const answer = await exchange(
    `${method} /guide${path} HTTP/1.1\r\n${HOST}Connection: close\r\n\r\n`,
  );
  expect(answer).toMatch(new RegExp(`^HTTP/1\\.1 ${status} `));
  expect(answer.endsWith('\r\n\r\n')).toBe(true);
});

// Guards against internal and hop-by-hop headers or trailers of a caller that reach a target.
test('internal headers, hop-by-hop headers and trailers are dropped', async () => {
  const answer = await exchange(
    `POST /guide/a HTTP/1.1\r\n${HOST}Connection: close, X-Hop\r\nX-Hop: 1\r\nX-Kept: 1\r\n` +
      'Limpetknot-Peer-Secret: guess\r\nLimpetknot-Call-Id: forged\r\nTE: trailers\r\n' +
      'Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nab\r\n0\r\nX-Sum: 1\r\n\r\n',
  );
  expect(answer).toMatch(/^HTTP\/1\.1 200 /);
  const seen = target.headers[0]!;
  expect(seen['x-kept']).toBe('1');
  for (const name of ['x-hop', 'x-sum', 'te', 'trailer', 'limpetknot-peer-secret']) {
    expect(seen[name]).toBeUndefined();
  }
  expect(seen['limpetknot-call-id']).not.toBe('forged');
  expect(target.requests[0]!.body).toBe('ab');
  expect(answer).toContain('hello');
  expect(answer.toLowerCase()).not.toContain('x-sum');
});

// Guards against a caller that waits for 100 and never gets it.
test('a body that is welcome is asked for with 100', async () => {
  const answer = await exchange(
    `POST /guide/a HTTP/1.1\r\n${HOST}Expect: 100-continue\r\nContent-Length: 2\r\nConnection: close\r\n\r\nab`,
  );
  expect(answer).toMatch(/^HTTP\/1\.1 100 Continue\r\n\r\nHTTP\/1\.1 200 /);
});

// Guards against an error answer written into the midst of another call's answer.
test('garbage behind a request does not mix with its answer', async () => {
  const answer = await exchange(`GET /guide/a HTTP/1.1\r\n${HOST}\r\ngarbage\r\n\r\n`);
  expect(answer === '' || /^HTTP\/1\.1 (200|400) /.test(answer)).toBe(true);
  expect(answer.split('HTTP/1.1').length).toBeLessThanOrEqual(2);
});
