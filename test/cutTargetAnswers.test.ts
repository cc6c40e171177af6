import { Ok } from 'ts-results';

import { Cancellation } from '../src/forwarding/cancellation';
import { ConnectionPools } from '../src/forwarding/connectionPools';
import { type BodyEnd } from '../src/forwarding/transmission';
import { transmit } from '../src/forwarding/transmit';
import { DAMAGED_FRAMINGS, SAMPLE_ANSWERS } from './support/cutAnswers';
import { RunningClock } from './support/runningClock';
import { ScriptedServer } from './support/scriptedServer';

const TIME_LIMIT_MS = 1000;

describe('an answer of a target of the gateway that breaks off or is damaged', () => {
  const clock = new RunningClock();

  let target: ScriptedServer;

  let pools: ConnectionPools;

  let port = 0;

  beforeEach(async () => {
    target = new ScriptedServer('t-1');
    port = Number((await target.listen()).split(':')[1]);
    pools = new ConnectionPools();
  });

  afterEach(async () => {
    target.close();
    await pools.close();
  });

  afterAll(() => clock.close());

  /** Status, body and end of the answer, or the kind of failure. The body is read after `waitMs`. */
  async function receive(method: string, waitMs = 0): Promise<readonly unknown[]> {
    const hasBody = method === 'POST';
    const head = await transmit(
      pools.poolFor('127.0.0.1', port, null),
      {
        ...{ method, path: '/x', headers: {}, cancellation: new Cancellation() },
        body: hasBody ? { kind: 'buffered', bytes: Buffer.from('b') } : { kind: 'none' },
        deadline: clock.now() + TIME_LIMIT_MS,
        checkBeforeSend: () => Ok.EMPTY,
      },
      clock,
    );
    if (head.err) return [head.val.kind];
    await new Promise((resolve) => {
      setTimeout(resolve, waitMs);
    });
    const chunks: Buffer[] = [];
    const end = await new Promise<BodyEnd>((resolve) => {
      head.val.streamTo({ data: (chunk) => chunks.push(chunk) > 0, end: resolve });
    });
    return [head.val.status, Buffer.concat(chunks).toString('latin1'), end];
  }

  // Guards against passing on half of an answer as a complete success, and against the loss of a
  // complete one.
  it.each(Object.entries(SAMPLE_ANSWERS))('is never whole: %s', async (_, sample) => {
    const text = sample.text('0000');
    const wrong: unknown[] = [];
    let calls = 0;
    for (const ending of ['end', 'reset'] as const) {
      for (let length = 0; length <= text.length; length += 1) {
        target.onCall = ({ socket }) => {
          const sent = text.slice(0, length);
          if (ending === 'end') socket.end(sent);
          else if (sent === '') socket.resetAndDestroy();
          else socket.write(sent, () => setTimeout(() => socket.resetAndDestroy(), 2));
        };
        const received = await receive(sample.method);
        calls += 1;
        const isWhole = length === text.length && sample.endsWithConnection !== true;
        const expected = isWhole ? [sample.status, sample.body, 'whole'] : ['lost'];
        const seen = isWhole ? received : received.slice(-1);
        if (JSON.stringify(seen) !== JSON.stringify(expected))
          wrong.push([ending, length, received]);
      }
    }
    expect(wrong).toEqual([]);
    expect(target.received.length).toBe(calls);
  });

  // Guards against a success with the framing of its chunks as its body, or with an empty one, and
  // against the head of one answer with the body of another.
  it.each(Object.entries(DAMAGED_FRAMINGS))('is not taken for whole: %s', async (_, text) => {
    target.onCall = ({ socket }) => socket.end(text);
    for (const method of ['GET', 'HEAD', 'POST'])
      expect([method, (await receive(method)).slice(-1)]).toEqual([method, ['lost']]);
  });

  // Guards against an error that nobody catches, which ends the process.
  it.each(['end', 'reset'] as const)('may break off while nobody reads it: %s', async (ending) => {
    for (const bytes of [64 * 1024 - 1, 64 * 1024, 64 * 1024 + 1, 68 * 1024]) {
      target.onCall = ({ socket }) => {
        const head = 'HTTP/1.1 200 x\r\nContent-Length: 1000000\r\nConnection: close\r\n\r\n';
        socket.write(head + 'x'.repeat(bytes));
        setTimeout(() => (ending === 'end' ? socket.end() : socket.resetAndDestroy()), 20);
      };
      expect((await receive('GET', 60)).slice(-1)).toEqual(['lost']);
    }
  });

  // Guards against a caller that takes the bytes of a target in trouble for an answer to its call.
  it.each(['000', '001', '099', '101', '600', '999', '1000', '20', '2 0', '-20', ''])(
    'is none with the status %j',
    async (status) => {
      target.onCall = ({ socket }) =>
        socket.write(`HTTP/1.1 ${status} x\r\nContent-Length: 2\r\n\r\nno`);
      expect(await receive('POST')).toEqual(['lost']);
    },
  );
});
