import { SAMPLE_ANSWERS, SAMPLE_BODY } from '../support/cutAnswers';
import { answerText, ScriptedServer } from '../support/scriptedServer';
import { TestPlatform } from '../support/testPlatform';

const TIME_LIMIT_MS = 2000;

const OTHER = {
  'a failure': answerText('ID', 'failed', 500),
  'a success': answerText('ID', 'another line that is longer'),
  "another call's answer": answerText('other', 'another line that is longer'),
  'an answer without an id': answerText('', 'another line that is longer'),
};

function before(texts: Readonly<Record<string, string>>, text: string): Record<string, string> {
  return Object.fromEntries(
    Object.entries(texts).map(([name, other]) => [
      `${JSON.stringify(text)}, ${name}`,
      text + other,
    ]),
  );
}

const CONTINUATIONS = {
  ...OTHER,
  ...before(OTHER, '\r\n'),
  ...before(OTHER, '\r\n\r\n'),
  'a line end': '\r\n',
  'an empty line': '\r\n\r\n',
  'a bare line end': '\n',
  'a bare empty line': '\n\n',
};

const GLUED = Object.fromEntries(
  ['GET with a length', 'POST in chunks with extensions and trailers', 'GET, length first'].map(
    (name) => [name, { sample: SAMPLE_ANSWERS[name]!, others: CONTINUATIONS }],
  ),
);

const BODY_LENGTH = `Content-Length: ${SAMPLE_BODY.length}`;

/** Lines of a head that contradict each other or the body, where ID is the id of the call. */
const CONTRADICTIONS: Readonly<Record<string, readonly string[]>> = {
  'two lengths': ['Request-Id: ID', BODY_LENGTH, 'Content-Length: 2'],
  'the same length twice': ['Request-Id: ID', BODY_LENGTH, BODY_LENGTH],
  'a list of lengths': ['Request-Id: ID', `${BODY_LENGTH}, ${SAMPLE_BODY.length}`],
  'a length and chunks': ['Request-Id: ID', BODY_LENGTH, 'Transfer-Encoding: chunked'],
  'chunks and a length': ['Request-Id: ID', 'Transfer-Encoding: chunked', BODY_LENGTH],
  'half of a coding': ['Request-Id: ID', 'Transfer-Encoding: chun'],
  'no coding': ['Request-Id: ID', 'Transfer-Encoding: identity'],
  'an empty coding': ['Request-Id: ID', 'Transfer-Encoding:'],
  'another coding': ['Request-Id: ID', 'Transfer-Encoding: chunked, gzip'],
  'two ids': ['Request-Id: ID', 'Request-Id: other', BODY_LENGTH],
  'two ids, the other first': ['Request-Id: other', 'Request-Id: ID', BODY_LENGTH],
  'the same id twice': ['Request-Id: ID', 'Request-Id: ID', BODY_LENGTH],
  'two signatures': ['Request-Id: ID', 'Upstream-Signature: s.2', BODY_LENGTH],
};

function damagedAnswer(id: string, lines: readonly string[]): string {
  const head = ['HTTP/1.1 200 x', 'Upstream-Signature: s.1', ...lines].join('\r\n');
  return `${head.replaceAll('ID', id)}\r\n\r\n${SAMPLE_BODY}`;
}

describe('an answer that breaks off or is damaged', () => {
  let platform: TestPlatform;

  let server: ScriptedServer;

  beforeEach(async () => {
    platform = new TestPlatform();
    const common = { service: 'all', timeLimitMs: TIME_LIMIT_MS };
    platform.configure([
      { ...common, prefix: '/read/', isIdempotent: true, mostAttempts: 1 },
      { ...common, prefix: '/book/', isIdempotent: false },
    ]);
    server = new ScriptedServer('i-bad');
    platform.register('all', { id: 'i-bad' }, await server.listen());
    await platform.start();
  });

  afterEach(async () => {
    await platform.stop();
    server.close();
  });

  /** Status and body that the caller receives; null for an answer that breaks off. */
  async function receive(method: string, id: string): Promise<readonly [number, string] | null> {
    const path = method === 'POST' ? '/book/x' : '/read/x';
    const body = method === 'POST' ? { body: 'b' } : {};
    const reply = await platform.call(method, path, { id, ...body }).catch(() => null);
    return reply === null ? null : [reply.status, reply.body];
  }

  // Guards against passing on half of an answer as a complete success, and against the loss of a
  // complete one.
  it.each(Object.entries(SAMPLE_ANSWERS))(
    'is never passed on as whole, whatever its end: %s',
    async (_, sample) => {
      const whole = sample.text('0000').length;
      const wrong: unknown[] = [];
      for (const ending of ['end', 'reset'] as const) {
        for (let length = 0; length <= whole; length += 1) {
          const id = String(length).padStart(4, '0');
          server.onCall = ({ socket }) => {
            const text = sample.text(id).slice(0, length);
            if (ending === 'end') socket.end(text);
            else if (text === '') socket.resetAndDestroy();
            else socket.write(text, () => setTimeout(() => socket.resetAndDestroy(), 2));
          };
          const received = await receive(sample.method, id);
          const isWhole = length === whole && sample.endsWithConnection !== true;
          const expected = isWhole ? [sample.status, sample.body] : [502];
          const seen = isWhole ? received : received?.slice(0, 1);
          if (JSON.stringify(seen) !== JSON.stringify(expected))
            wrong.push([ending, length, received]);
        }
      }
      expect(wrong).toEqual([]);
      expect(server.received.length).toBe(2 * (whole + 1));
    },
    60_000,
  );

  // Guards against a head, length or body that is put together from the bytes of two answers.
  it.each(Object.entries(GLUED))(
    'is never continued by other bytes: %s',
    async (_, { sample, others }) => {
      const text = sample.text('0000');
      const headLength = text.indexOf('\r\n\r\n') + 4;
      const wrong: unknown[] = [];
      let calls = 0;
      for (const [name, other] of Object.entries(others)) {
        const last = name in OTHER ? text.length : headLength - 1;
        for (let length = 1; length <= last; length += 1) {
          calls += 1;
          const id = String(calls).padStart(4, '0');
          server.onCall = ({ socket }) =>
            socket.end(sample.text(id).slice(0, length) + other.replace('ID', id));
          const received = await receive(sample.method, id);
          const isWhole = JSON.stringify(received) === JSON.stringify([200, sample.body]);
          const isRight = isWhole || (received?.[0] === 502 && length < text.length);
          if (!isRight)
            wrong.push([
              name,
              JSON.stringify(text.slice(Math.max(0, length - 24), length)),
              received,
            ]);
        }
      }
      expect(wrong).toEqual([]);
      expect(server.received.length).toBe(calls);
    },
    60_000,
  );

  // Guards against a success with the framing of its chunks as its body, or with an empty one.
  it.each(Object.entries(CONTRADICTIONS))(
    'is not taken for one of two that it may be: %s',
    async (_, lines) => {
      for (const method of ['GET', 'POST', 'HEAD']) {
        server.onCall = ({ socket, id }) =>
          socket.write(damagedAnswer(id, lines), () => setTimeout(() => socket.end(), 5));
        const received = await receive(method, `${method}-1`);
        expect([method, received?.[0]]).toEqual([method, 502]);
      }
    },
  );
});
