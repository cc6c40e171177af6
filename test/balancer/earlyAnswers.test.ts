import { createServer, type Server, type Socket } from 'node:net';

import { RawCaller } from '../support/rawCaller';
import { answerText } from '../support/scriptedServer';
import { TestPlatform } from '../support/testPlatform';

const LONG_BODY_BYTES = 600_000;
// Longer than the part of a body that is buffered before the call is sent.
const FIRST_PART_BYTES = 300_000;
const HEALTHY = 'HTTP/1.1 200 x\r\nUpstream-Instance: i-early\r\nContent-Length: 0\r\n\r\n';

type EarlyAnswer = (socket: Socket, id: string) => void;

const EARLY_ANSWERS: Readonly<Record<string, EarlyAnswer>> = {
  'an answer': (socket, id) => socket.write(answerText(id, 'too long', 422)),
  'a reset': (socket) => socket.resetAndDestroy(),
};

describe('a call that is answered before its body is received', () => {
  let platform: TestPlatform;

  let server: Server;

  let answer: EarlyAnswer;

  beforeEach(async () => {
    platform = new TestPlatform();
    platform.configure([
      { prefix: '/book/', service: 'books', isIdempotent: false, timeLimitMs: 1000 },
    ]);
    server = createServer((socket) => {
      socket.on('error', () => {});
      socket.on('data', (chunk) => {
        const text = chunk.toString('latin1');
        const id = /request-id: (\S+)/i.exec(text)?.[1];
        if (text.startsWith('GET /healthz ')) socket.write(HEALTHY);
        else if (id !== undefined && /content-length: 4\r/i.test(text))
          socket.write(answerText(id, 'short'));
        else if (id !== undefined) answer(socket, id);
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as { port: number };
    platform.register('books', { id: 'i-early' }, `127.0.0.1:${port}`);
    await platform.start();
  });

  afterEach(async () => {
    await platform.stop();
    server.close();
  });

  function head(id: string, length: number): string {
    return (
      `POST /book/x HTTP/1.1\r\nHost: test.example\r\nRequest-Id: ${id}\r\n` +
      `Deadline-Ms: 2000\r\nContent-Length: ${length}\r\n\r\n`
    );
  }

  // Guards against a connection that is dead afterwards: nobody reads the rest of the body, so that
  // the next call on the connection is neither read nor answered.
  it.each(Object.entries(EARLY_ANSWERS))(
    'leaves its connection usable after %s',
    async (_, answerEarly) => {
      answer = answerEarly;
      const caller = new RawCaller(platform.callerPort);
      caller.write(`${head('long', LONG_BODY_BYTES)}${'x'.repeat(FIRST_PART_BYTES)}`);
      await platform.until(() => caller.statuses().length === 1);
      caller.write('x'.repeat(LONG_BODY_BYTES - FIRST_PART_BYTES));
      await platform.sleep(400);
      caller.write(`${head('next', 4)}seat`);
      await platform.until(() => caller.statuses().length === 2);
      expect(caller.statuses()[1]).toBe('200');
      expect(caller.answeredIds()).toEqual(['long', 'next']);
      caller.leave();
    },
  );

  // Guards against a caller that sends a body without end after its answer.
  it('is closed when its body does not end', async () => {
    platform.configure(
      [{ prefix: '/book/', service: 'books', isIdempotent: false, timeLimitMs: 1000 }],
      { max_body_bytes: 1_000_000 },
    );
    await platform.sleep(600);
    answer = EARLY_ANSWERS['an answer']!;
    const caller = new RawCaller(platform.callerPort);
    caller.write(head('endless', 0).replace('Content-Length: 0', 'Transfer-Encoding: chunked'));
    const timer = setInterval(() => caller.write(`186a0\r\n${'x'.repeat(100_000)}\r\n`), 10);
    await platform.until(() => caller.isClosed);
    clearInterval(timer);
  });
});
