import { Writable } from 'node:stream';

import { BufferedWriter, DecisionLog, defineEvents } from '../src/logging';

/** Creates an output that accepts a block only when `drainOnce` is called. */
function createBlockingOutput() {
  const blocks: string[] = [];
  const pending: (() => void)[] = [];
  const stream = new Writable({
    highWaterMark: 1,
    decodeStrings: false,
    write: (chunk: string, _encoding, done) => {
      blocks.push(chunk);
      pending.push(done);
    },
  });
  return { blocks, stream, drainOnce: () => pending.shift()?.() };
}

const DECISION = {
  callId: 'c-1',
  service: 'round-sheet',
  class: 'lookup',
  host: 'host-1',
  target: 't-1',
  reason: 'least loaded',
  candidates: 4,
};

// Guards against a decision log that blocks calls or loses lines without counting them.
test('lines beyond the capacity of a blocked output are dropped and counted', async () => {
  const output = createBlockingOutput();
  const writer = new BufferedWriter(output.stream, 100);
  const line = `${'x'.repeat(39)}\n`;
  for (let count = 0; count < 5; count += 1) writer.write(line);
  expect(writer.droppedLines()).toBe(3);
  const closed = writer.close();
  output.drainOnce();
  await closed;
  expect(output.blocks.join('')).toBe(line + line);
});

// Guards against decision lines that bunyan's tools cannot parse.
test('a decision is one JSON line with the fields of a bunyan record', async () => {
  const output = createBlockingOutput();
  const writer = new BufferedWriter(output.stream);
  const log = new DecisionLog(writer, 'limpetknot-gateway', 'host-1', () => new Date(0));
  log.record(DECISION);
  const closed = writer.close();
  output.drainOnce();
  await closed;
  expect(JSON.parse(output.blocks[0]!)).toMatchObject({
    ...DECISION,
    v: 0,
    level: 30,
    event: 100,
    hostname: 'host-1',
    time: '1970-01-01T00:00:00.000Z',
  });
});

// Guards against two events that share a number, which the catalogue cannot tell apart.
test('event numbers are unique and inside the range of their module', () => {
  const event = { number: 100, level: 'info', message: 'first' } as const;
  expect(() => defineEvents(100, { first: event, second: event })).toThrow('twice');
  expect(() => defineEvents(200, { first: event })).toThrow('outside');
});
