import { type Socket } from 'node:net';

import { RawCaller } from '../support/rawCaller';
import { answerText, ScriptedServer } from '../support/scriptedServer';
import { TestPlatform } from '../support/testPlatform';

const WORK_MS = 150;
const LONG_BODY = 'x'.repeat(2_000_000);
const CALLS = 10;

/** Writes without end until the other side closes the connection. */
function writeForEver(socket: Socket): void {
  const writeMore = () => {
    while (!socket.destroyed && socket.write(LONG_BODY));
    if (!socket.destroyed) socket.once('drain', writeMore);
  };
  writeMore();
}

const ANSWERS: Readonly<Record<string, (socket: Socket, id: string) => void>> = {
  long: (socket, id) => socket.write(answerText(id, LONG_BODY)),
  endless: (socket, id) => {
    socket.write(answerText(id, '').replace('Content-Length: 0', 'Content-Length: 900000000000'));
    writeForEver(socket);
  },
};

describe('long answers whose callers have left', () => {
  let platform: TestPlatform;

  let server: ScriptedServer;

  /** Connections on which an answer was begun, and those of them that are still open. */
  const answering = new Set<Socket>();

  let answersBegun = 0;

  beforeEach(async () => {
    platform = new TestPlatform();
    platform.configure([
      { prefix: '/book/', service: 'books', isIdempotent: false, timeLimitMs: 20_000 },
      { prefix: '/read/', service: 'books', isIdempotent: true, timeLimitMs: 20_000 },
    ]);
    server = new ScriptedServer('i-book');
    platform.register('books', { id: 'i-book', slots: 50 }, await server.listen());
    answering.clear();
    answersBegun = 0;
    await platform.start();
  });

  afterEach(async () => {
    await platform.stop();
    server.close();
  });

  function answerWith(send: (socket: Socket, id: string) => void): void {
    server.onCall = ({ socket, id }) => {
      setTimeout(() => {
        answersBegun += 1;
        if (socket.destroyed) return;
        answering.add(socket);
        socket.once('close', () => answering.delete(socket));
        send(socket, id);
      }, WORK_MS);
    };
  }

  function callTexts(prefix: string, index: number): readonly string[] {
    const isBooking = prefix === 'book';
    return [0, 1].map(
      (part) =>
        `${isBooking ? 'POST' : 'GET'} /${prefix}/x HTTP/1.1\r\nHost: test.example\r\n` +
        `Request-Id: ${prefix}-${index}-${part}\r\nDeadline-Ms: 20000\r\n` +
        `${isBooking ? 'Content-Length: 0\r\n' : ''}\r\n`,
    );
  }

  async function expectReleased(calls: number): Promise<void> {
    await platform.until(() => answersBegun === calls);
    // Closed connections are noticed within this time; a kept one stays until the time limit.
    await platform.until(() => answering.size === 0);
  }

  // Guards against answers that are kept until the process runs out of memory: the caller of a call
  // that is completed at its target has left, so that nobody reads the answer.
  it.each(Object.entries(ANSWERS))('are released with their connections: %s', async (_, send) => {
    answerWith(send);
    for (let index = 0; index < CALLS; index += 1) {
      const caller = new RawCaller(platform.callerPort);
      caller.write(callTexts('book', index)[0]!);
      setTimeout(() => caller.leave(), 50);
    }
    await expectReleased(CALLS);
  });

  // Guards against the same for calls that wait for their turn behind another.
  it('are released when they were sent behind others', async () => {
    answerWith(ANSWERS.endless!);
    for (let index = 0; index < CALLS; index += 1) {
      const caller = new RawCaller(platform.callerPort);
      caller.write(callTexts('read', index).join(''));
      caller.pause();
      setTimeout(() => caller.leave(), WORK_MS + 200);
    }
    await expectReleased(2 * CALLS);
  });
});
