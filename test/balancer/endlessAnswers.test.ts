import { type Socket } from 'node:net';

import { BalancerProcess, DEPLOYED_FLAGS, MAIN } from '../support/balancerProcess';
import { answerText, ScriptedServer } from '../support/scriptedServer';
import { TestPlatform } from '../support/testPlatform';

const ROUTE = { prefix: '/read/', service: 'reads', isIdempotent: true, mostAttempts: 1 };
const TIME_LIMIT_MS = 1500;
const BLOCK = 'x'.repeat(64 * 1024);
const MAX_GROWTH_BYTES = 64 * 1024 * 1024;

/** Writes `block` again and again until the other side closes the connection. */
function writeForEver(socket: Socket, block: string): void {
  const writeMore = () => {
    while (!socket.destroyed && socket.write(block));
    if (!socket.destroyed) socket.once('drain', writeMore);
  };
  writeMore();
}

function writeSlowly(socket: Socket, text: string): void {
  const timer = setInterval(() => {
    if (socket.destroyed) clearInterval(timer);
    else socket.write(text);
  }, 50);
  socket.once('close', () => clearInterval(timer));
}

function head(id: string, lines: readonly string[], status = 200): string {
  const common = [`HTTP/1.1 ${status} x`, `Request-Id: ${id}`, 'Upstream-Signature: s.1'];
  return `${[...common, ...lines].join('\r\n')}\r\n`;
}

const CHUNKED = 'Transfer-Encoding: chunked';

/** Ways in which a server sends bytes that never become an answer. */
const ENDLESS: Readonly<Record<string, (socket: Socket, id: string) => void>> = {
  noise: (socket) => writeForEver(socket, BLOCK),
  'a status line': (socket) => {
    socket.write('HTTP/1.1 200 ');
    writeForEver(socket, BLOCK);
  },
  'a header': (socket, id) => {
    socket.write(`${head(id, [])}Field: `);
    writeForEver(socket, BLOCK);
  },
  headers: (socket, id) => {
    socket.write(head(id, []));
    writeForEver(socket, 'Field: value\r\n'.repeat(1000));
  },
  'a slow header': (socket, id) => {
    socket.write(`${head(id, [])}Field: `);
    writeSlowly(socket, 'x');
  },
  'interim answers': (socket) => {
    writeForEver(socket, 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'.repeat(100));
  },
  'a failed body': (socket, id) => {
    socket.write(`${head(id, [CHUNKED], 500)}\r\n`);
    writeForEver(socket, `10000\r\n${BLOCK}\r\n`);
  },
  'a body without a length': (socket, id) => {
    socket.write(`${head(id, [])}\r\n`);
    writeForEver(socket, BLOCK);
  },
  'a body of another call': (socket) => {
    socket.write(`${head('another', [CHUNKED])}\r\n`);
    writeForEver(socket, `10000\r\n${BLOCK}\r\n`);
  },
  'a slow body': (socket, id) => {
    socket.write(`${head(id, [CHUNKED])}\r\n`);
    writeSlowly(socket, '1\r\nx\r\n');
  },
  'a chunk extension': (socket, id) => {
    socket.write(`${head(id, [CHUNKED])}\r\n5;a=`);
    writeForEver(socket, BLOCK);
  },
  trailers: (socket, id) => {
    socket.write(`${head(id, [CHUNKED])}\r\n2\r\nok\r\n0\r\n`);
    writeForEver(socket, 'Field: value\r\n'.repeat(1000));
  },
  'slow trailers': (socket, id) => {
    socket.write(`${head(id, [CHUNKED])}\r\n2\r\nok\r\n0\r\n`);
    writeSlowly(socket, 'Field: value\r\n');
  },
};

describe('a server that sends bytes without end', () => {
  let platform: TestPlatform;

  let server: ScriptedServer;

  let closed = 0;

  beforeEach(async () => {
    platform = new TestPlatform();
    platform.configure([{ ...ROUTE, timeLimitMs: TIME_LIMIT_MS }]);
    server = new ScriptedServer('i-bad');
    closed = 0;
    platform.register('reads', { id: 'i-bad' }, await server.listen());
    await platform.start();
  });

  afterEach(async () => {
    await platform.stop();
    server.close();
  });

  // Guards against an answer that looks complete, a call without an answer, and a connection that
  // stays in use or open.
  it.each(Object.entries(ENDLESS))(
    'gets no more than the time of the call: %s',
    async (_, send) => {
      server.onCall = ({ socket, id }) => {
        socket.once('close', () => {
          closed += 1;
        });
        send(socket, id);
      };
      const reply = await platform.call('GET', '/read/x', { id: 'r-1', timeLeft: 5000 });
      expect([502, 504]).toContain(reply.status);
      expect(reply.elapsedMs).toBeLessThan(TIME_LIMIT_MS + 400);
      await platform.until(() => closed === 1);
      server.onCall = ({ socket, id }) => socket.write(answerText(id, `answer to ${id}`));
      const next = await platform.call('GET', '/read/x', { id: 'r-2' });
      expect(next.body).toBe('answer to r-2');
    },
  );

  // Guards against an event loop that is busy with a flood for as long as the call lasts.
  it.each(['interim answers', 'headers', 'noise'])('is given up early: %s', async (way) => {
    server.onCall = ({ socket, id }) => ENDLESS[way]!(socket, id);
    const reply = await platform.call('GET', '/read/x', { id: 'r-1' });
    expect(reply.status).toBe(502);
    expect(reply.elapsedMs).toBeLessThan(TIME_LIMIT_MS / 2);
  });

  it('is given up early when the bytes are the body of a health check', async () => {
    let closedChecks = 0;
    server.onProbe = ({ socket }) => {
      socket.once('close', () => {
        closedChecks += 1;
      });
      socket.write(`HTTP/1.1 200 x\r\n${CHUNKED}\r\n\r\n4001\r\n${'x'.repeat(0x4001)}\r\n`);
    };
    await platform.sleep(100);
    const closedBefore = closedChecks;
    await platform.sleep(700);
    // At its time limit of 250 ms, three checks at most would end meanwhile.
    expect(closedChecks - closedBefore).toBeGreaterThan(3);
  });

  // Guards against a long answer that is passed on for as long as its server likes to send.
  it('is cut off when a passed-on body lasts longer than its caller waits', async () => {
    server.onCall = ({ socket, id }) => {
      socket.once('close', () => {
        closed += 1;
      });
      socket.write(`${head(id, [CHUNKED])}\r\n`);
      writeForEver(socket, `10000\r\n${BLOCK}\r\n`);
    };
    await expect(platform.call('GET', '/read/x', { timeLeft: 1000 })).rejects.toThrow();
    await platform.until(() => closed === 1);
  });

  // Guards against bytes after a complete body that reach a caller or the next call.
  it('does not pass on bytes beyond the length of a body', async () => {
    server.onCall = ({ socket, id }) => {
      socket.write(answerText(id, `answer to ${id}`));
      writeForEver(socket, BLOCK);
    };
    for (const id of ['r-1', 'r-2', 'r-3']) {
      const reply = await platform.call('GET', '/read/x', { id });
      expect([reply.status, reply.body]).toEqual([200, `answer to ${id}`]);
    }
  });
});

describe('a hundred servers that send bytes without end', () => {
  // Guards against memory and connections that grow with the bytes that servers send, in answers to
  // calls and to health checks.
  it('leave the process within its memory, and serving', async () => {
    const platform = new TestPlatform();
    const balancer = new BalancerProcess(platform);
    const servers: ScriptedServer[] = [];
    const ways = Object.values(ENDLESS);
    platform.configure([
      { ...ROUTE, timeLimitMs: TIME_LIMIT_MS },
      { prefix: '/good/', service: 'good', isIdempotent: true, timeLimitMs: TIME_LIMIT_MS },
    ]);
    try {
      for (let index = 0; index < 100; index += 1) {
        const server = new ScriptedServer(`i-${index}`);
        servers.push(server);
        const send = ways[index % ways.length]!;
        let probes = 0;
        server.onCall = ({ socket, id }) => send(socket, id);
        const answerProbe = server.onProbe;
        // The first checks pass, so that calls are sent; some of the later ones do not end.
        server.onProbe = (request) => {
          probes += 1;
          if (probes < 5 || probes % 5 !== 0) answerProbe(request);
          else send(request.socket, '');
        };
        platform.register('reads', { id: server.id }, await server.listen());
      }
      await platform.addServer('good', { id: 'i-good', workMs: 5 });
      await balancer.prepare();
      balancer.writeSettings();
      void balancer.launch([...DEPLOYED_FLAGS, MAIN]);
      await balancer.untilReady();
      await platform.sleep(500);
      const before = balancer.residentBytes();
      let most = before;
      const calls = Array.from({ length: 150 }, () =>
        platform.call('GET', '/read/x', { timeLeft: 4000 }),
      );
      for (let check = 0; check < 15; check += 1) {
        await platform.sleep(100);
        most = Math.max(most, balancer.residentBytes());
      }
      const statuses = (await Promise.all(calls)).map((reply) => reply.status);
      expect(statuses.filter((status) => ![502, 503, 504].includes(status))).toEqual([]);
      expect(most - before).toBeLessThan(MAX_GROWTH_BYTES);
      expect((await platform.call('GET', '/good/x')).status).toBe(200);
    } finally {
      balancer.close();
      for (const server of servers) server.close();
      await platform.stop();
    }
  }, 60_000);
});
