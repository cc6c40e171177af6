import { ScriptedServer } from '../support/scriptedServer';
import { TestPlatform } from '../support/testPlatform';

const BODY = 'a body of one line';

type Framing = 'length' | 'chunks' | 'close';

function completeAnswer(id: string, framing: Framing): string {
  const head = ['HTTP/1.1 200 x', `Request-Id: ${id}`, 'Upstream-Signature: s.1'];
  const framed: Readonly<Record<Framing, () => string>> = {
    length: () => [...head, `Content-Length: ${BODY.length}`, '', BODY].join('\r\n'),
    chunks: () => {
      const half = BODY.length / 2;
      const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
      const chunks = `${chunk(BODY.slice(0, half))}${chunk(BODY.slice(half))}0\r\n\r\n`;
      return `${[...head, 'Transfer-Encoding: chunked', '', ''].join('\r\n')}${chunks}`;
    },
    close: () => [...head, '', BODY].join('\r\n'),
  };
  return framed[framing]();
}

describe('an answer that breaks off', () => {
  let platform: TestPlatform;

  let server: ScriptedServer;

  beforeEach(async () => {
    platform = new TestPlatform();
    platform.configure([
      { prefix: '/book/', service: 'books', isIdempotent: false, timeLimitMs: 2000 },
    ]);
    server = new ScriptedServer('i-book');
    platform.register('books', { id: 'i-book' }, await server.listen());
    await platform.start();
  });

  afterEach(async () => {
    await platform.stop();
    server.close();
  });

  // Guards against passing on half of an answer as a complete success, wherever it breaks off.
  it.each(
    (['length', 'chunks', 'close'] as const).flatMap((framing) => [
      { framing, ending: 'end' as const },
      { framing, ending: 'reset' as const },
    ]),
  )(
    'never looks complete: $framing, $ending at each byte',
    async ({ framing, ending }) => {
      const whole = completeAnswer('x', framing).length;
      // An answer that ends with its connection can't be told from one that broke off.
      const last = framing === 'close' ? whole : whole - 1;
      for (let length = 0; length <= last; length += 1) {
        server.onCall = ({ socket, id }) => {
          const text = completeAnswer(id, framing).slice(0, length + id.length - 1);
          if (ending === 'end') socket.end(text);
          else if (text === '') socket.resetAndDestroy();
          else socket.write(text, () => setTimeout(() => socket.resetAndDestroy(), 2));
        };
        const reply = await platform.call('POST', '/book/x', { id: `${length}`, body: 'b' });
        expect([length, reply.status]).toEqual([length, 502]);
      }
    },
    60_000,
  );
});
