/** A correct answer of a server, which tests cut, glue or contradict. */
export interface SampleAnswer {
  readonly method: 'GET' | 'HEAD' | 'POST';
  readonly status: number;
  readonly body: string;
  text(id: string): string;
  /** Whether the end of its connection is the only end of the answer. */
  readonly endsWithConnection?: boolean;
}

export const SAMPLE_BODY = 'a body of one line';

const CHUNKS = `9\r\n${SAMPLE_BODY.slice(0, 9)}\r\n9\r\n${SAMPLE_BODY.slice(9)}\r\n0\r\n\r\n`;
const EXTENDED_CHUNKS = `9;a=b;c="d"\r\n${SAMPLE_BODY.slice(0, 9)}\r\n9;e\r\n${SAMPLE_BODY.slice(9)}\r\n0;f\r\nX-Sum: 1\r\nX-End: 2\r\n\r\n`;

function sample(
  method: SampleAnswer['method'],
  lines: readonly string[],
  sent: string,
  more: Partial<SampleAnswer> & { readonly version?: string; readonly before?: string } = {},
): SampleAnswer {
  const { status = 200, version = '1.1', before = '', ...rest } = more;
  const own = (id: string) => [
    ...[`HTTP/${version} ${status} x`, 'Date: Mon', `Request-Id: ${id}`],
    ...['Upstream-Signature: s.1', ...lines],
  ];
  const text = (id: string) => `${before}${own(id).join('\r\n')}\r\n\r\n${sent}`;
  const hasBody = method !== 'HEAD' && status !== 204 && status !== 304;
  return { method, status, text, body: hasBody ? SAMPLE_BODY : '', ...rest };
}

const LENGTH = `Content-Length: ${SAMPLE_BODY.length}`;
const CHUNKED = 'Transfer-Encoding: chunked';
const CLOSE = 'Connection: close';
const HINTS = 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n';

/** Correct answers by the framing of their bodies and of their heads. */
export const SAMPLE_ANSWERS: Readonly<Record<string, SampleAnswer>> = {
  'GET with a length': sample('GET', [LENGTH], SAMPLE_BODY),
  'GET in chunks': sample('GET', [CHUNKED], CHUNKS),
  'GET with a length, closing': sample('GET', [LENGTH, CLOSE], SAMPLE_BODY),
  'GET in chunks, closing': sample('GET', [CHUNKED, CLOSE], CHUNKS),
  'POST with a length, closing': sample('POST', [LENGTH, CLOSE], SAMPLE_BODY),
  'POST in chunks with extensions and trailers': sample('POST', [CHUNKED], EXTENDED_CHUNKS),
  'the same, closing': sample('POST', [CHUNKED, CLOSE], EXTENDED_CHUNKS),
  'HEAD with a length': sample('HEAD', [LENGTH], ''),
  'HEAD in chunks': sample('HEAD', [CHUNKED], ''),
  'HEAD, closing': sample('HEAD', [CLOSE], ''),
  '204': sample('GET', [], '', { status: 204 }),
  '204, closing': sample('POST', [CLOSE], '', { status: 204 }),
  '204 with a length of 0': sample('GET', ['Content-Length: 0'], '', { status: 204 }),
  '304': sample('GET', ['ETag: "1"'], '', { status: 304 }),
  '304 with a length': sample('GET', ['ETag: "1"', LENGTH], '', { status: 304 }),
  '304 with a length, closing': sample('GET', [LENGTH, CLOSE], '', { status: 304 }),
  'an interim answer first': sample('GET', [LENGTH], SAMPLE_BODY, { before: HINTS }),
  'several interim answers first': sample('POST', [LENGTH], SAMPLE_BODY, {
    before: `HTTP/1.1 102 Processing\r\n\r\n${HINTS}${HINTS}`,
  }),
  'an interim answer first, closing': sample('POST', [CHUNKED, CLOSE], CHUNKS, { before: HINTS }),
  'HTTP/1.0 with a length': sample('GET', [LENGTH], SAMPLE_BODY, { version: '1.0' }),
  'HTTP/1.0 without a length': sample('GET', [], SAMPLE_BODY, {
    version: '1.0',
    endsWithConnection: true,
  }),
  'no length': sample('GET', [], SAMPLE_BODY, { endsWithConnection: true }),
  'GET, length first': {
    ...sample('GET', [], ''),
    text: (id) =>
      `HTTP/1.1 200 x\r\n${LENGTH}\r\nRequest-Id: ${id}\r\nUpstream-Signature: s.1\r\nDate: Mon\r\n\r\n${SAMPLE_BODY}`,
  },
  'no length, closing': sample('POST', [CLOSE], SAMPLE_BODY, { endsWithConnection: true }),
};

/** Answers whose heads do not say where their bodies end, or contain the head of another answer. */
export const DAMAGED_FRAMINGS: Readonly<Record<string, string>> = Object.fromEntries(
  Object.entries({
    'half of a coding': ['Transfer-Encoding: chun'],
    'no coding': ['Transfer-Encoding: identity'],
    'an empty coding': ['Transfer-Encoding:'],
    'another coding': ['Transfer-Encoding: chunked, gzip'],
    'two lengths': [LENGTH, 'Content-Length: 2'],
    'a length and chunks': [LENGTH, CHUNKED],
    'another head in a header': ['Date: MonHTTP/1.1 500 x', LENGTH],
  }).map(([name, lines]) => [
    name,
    `${['HTTP/1.1 200 x', ...lines].join('\r\n')}\r\n\r\n${SAMPLE_BODY}`,
  ]),
);
