import { RawCaller } from '../support/rawCaller';
import { answerText, ScriptedServer } from '../support/scriptedServer';
import { TestPlatform } from '../support/testPlatform';

// Answers beyond this size are passed on while they are received.
const BUFFERED_BYTES = 256 * 1024;
const BODY = 'x'.repeat(4 * BUFFERED_BYTES);
const CHUNK_BYTES = 16 * 1024;
const CHUNK = `${CHUNK_BYTES.toString(16)}\r\n${'x'.repeat(CHUNK_BYTES)}\r\n`;
const CHUNKS = `${CHUNK.repeat(BODY.length / CHUNK_BYTES)}0\r\n\r\n`;

function answerHead(id: string): string {
  return `HTTP/1.1 200 x\r\nRequest-Id: ${id}\r\nUpstream-Signature: s.1\r\n`;
}

function requestText(id: string, connection = 'keep-alive'): string {
  const lines = ['Host: test.example', `Request-Id: ${id}`, 'Deadline-Ms: 2000'];
  return ['GET /read/x HTTP/1.1', ...lines, `Connection: ${connection}`, '', ''].join('\r\n');
}

const FRAMINGS: Readonly<Record<string, readonly [string, string]>> = {
  length: [`Content-Length: ${BODY.length}`, BODY],
  'length, closing': [`Content-Length: ${BODY.length}\r\nConnection: close`, BODY],
  chunks: ['Transfer-Encoding: chunked', CHUNKS],
  'chunks, closing': ['Transfer-Encoding: chunked\r\nConnection: close', CHUNKS],
  'no length': ['X: y', BODY],
};

const CUTS = [
  0,
  1,
  BUFFERED_BYTES - 1,
  BUFFERED_BYTES,
  BUFFERED_BYTES + 1,
  BUFFERED_BYTES + 4096,
  BODY.length - 1,
];

describe('a long answer that breaks off', () => {
  let platform: TestPlatform;

  let server: ScriptedServer;

  let closed = 0;

  beforeEach(async () => {
    platform = new TestPlatform();
    platform.configure([
      { prefix: '/read/', service: 'reads', isIdempotent: true, mostAttempts: 1 },
    ]);
    server = new ScriptedServer('i-read');
    platform.register('reads', { id: 'i-read' }, await server.listen());
    await platform.start();
    closed = 0;
  });

  afterEach(async () => {
    await platform.stop();
    server.close();
  });

  function serve(head: string, sent: string, ending: 'end' | 'reset'): void {
    server.onCall = ({ socket, id }) => {
      if (id === 'slow') {
        setTimeout(() => socket.write(answerText(id, 'slow')), 150);
        return;
      }
      socket.once('close', () => {
        closed += 1;
      });
      socket.write(`${answerHead(id)}${head}\r\n\r\n${sent}`);
      setTimeout(() => (ending === 'end' ? socket.end() : socket.resetAndDestroy()), 50);
    };
  }

  function untilEnded(caller: RawCaller): Promise<void> {
    return platform.until(() => caller.isClosed && closed === 1);
  }

  // Guards against an answer that looks complete, one that never ends, and an error that nobody
  // catches: it fails the test by itself. Behind a slow call nobody reads the answer yet.
  it.each(
    Object.entries(FRAMINGS).flatMap(([framing, [head, sent]]) =>
      (['end', 'reset'] as const).flatMap((ending) =>
        [false, true].map((isBehind) => ({ framing, head, sent, ending, isBehind })),
      ),
    ),
  )(
    'is a broken connection for the caller: $framing, $ending, behind a slow call $isBehind',
    async ({ head, sent, ending, isBehind }) => {
      for (const cut of CUTS) {
        serve(head, sent.slice(0, cut), ending);
        closed = 0;
        const caller = new RawCaller(platform.callerPort);
        caller.write(`${isBehind ? requestText('slow') : ''}${requestText('long', 'close')}`);
        await untilEnded(caller);
        const [slow, long] = isBehind ? caller.answers() : [null, caller.answers()[0]];
        if (isBehind) expect(slow).toEqual({ status: 200, isWhole: true, body: 'slow' });
        const isFailed = long === undefined || !long.isWhole || long.status === 502;
        expect([cut, long?.status, isFailed]).toEqual([cut, long?.status, true]);
      }
    },
  );
});
