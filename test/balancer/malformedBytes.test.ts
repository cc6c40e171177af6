import { createSocket } from 'node:dgram';
import { connect } from 'node:net';

import fc from 'fast-check';

import { encodeMessage, EXCHANGE_VERSION } from '../../src/exchange/datagramCodec';
import { type Message } from '../../src/exchange/message';
import { TestPlatform } from '../support/testPlatform';

const SEED = Number(process.env.SEED ?? 1);
const RUNS = 300;

const HEARTBEAT: Message = {
  kind: 'heartbeat',
  host: ['host-2', 'a', '127.0.0.1'],
  ...{
    incarnation: 1,
    asOf: 1,
    fingerprint: 0,
    newest: 1,
    source: 'idle',
    isLeaving: false,
    zoneSize: 2,
  },
  members: [['host-3', 'a', '127.0.0.3']],
};

const MESSAGES: readonly Message[] = [
  HEARTBEAT,
  {
    kind: 'changes',
    text: JSON.stringify({ after: 0, asOf: 1, records: [{ key: 'k', revision: 1, fact: null }] }),
  },
  {
    kind: 'notices',
    leaving: [{ id: 'i-read', startedAt: 7 }],
    crashes: [{ fingerprint: 'f', crashes: ['i-1 7'], cleared: [], leftMs: 300 }],
  },
  { kind: 'flights', counts: [{ host: 5, sequence: 1, calls: new Map([[7, 2]]) }] },
  {
    kind: 'reports',
    reports: [
      {
        ...{ target: 'i-read', age: 0, running: 1, waiting: 0, pace: 100 },
        ...{ observation: 'answer', coldLeft: null, callLimit: null },
      },
    ],
  },
];

const NOT_A_HEARTBEAT = [null, 7, [], [2], [2, 'heartbeat'], [2, 'heartbeat', [null, 3]]];

/** The bytes of a message that were cut, doubled, changed in places, or replaced by noise. */
function damaged(bytes: readonly Buffer[]): fc.Arbitrary<Buffer> {
  const one = fc.constantFrom(...bytes);
  return fc.oneof(
    fc.tuple(one, fc.nat()).map(([whole, cut]) => whole.subarray(0, cut % whole.length)),
    one.map((whole) => Buffer.concat([whole, whole])),
    fc.tuple(one, fc.nat(), fc.nat(255)).map(([whole, at, value]) => {
      const copy = Buffer.from(whole);
      copy[at % copy.length] = value;
      return copy;
    }),
    fc.uint8Array({ maxLength: 200 }).map((noise) => Buffer.from(noise)),
  );
}

describe('bytes that are no message', () => {
  let platform: TestPlatform;

  beforeEach(async () => {
    platform = new TestPlatform();
    platform.configure([{ prefix: '/read/', service: 'reads', isIdempotent: true }]);
    await platform.addServer('reads', { id: 'i-read', workMs: 2 });
    await platform.start();
  });

  afterEach(() => platform.stop());

  async function expectServing(): Promise<void> {
    const reply = await platform.call('GET', '/read/x');
    expect(reply.status).toBe(200);
  }

  function untilConfigured(version: number): Promise<void> {
    return platform.until(() =>
      platform.events.some(({ number, fields }) => number === 2308 && fields.version === version),
    );
  }

  // Guards against a datagram that takes the process down or stops its timers. An error that is not
  // caught fails the test by itself.
  it('are no harm as datagrams', async () => {
    const socket = createSocket('udp4');
    const send = (bytes: Buffer) =>
      new Promise<void>((resolve) => {
        socket.send(bytes, platform.exchangePort, '127.0.0.1', () => resolve());
      });
    const wrongTypes = NOT_A_HEARTBEAT.map((value) => Buffer.from(JSON.stringify(value)));
    // Heartbeats have a binary encoding, so that text is no form of them; notices have none.
    const nestedWrong = [
      ['heartbeat', [null, [1]]],
      ['heartbeat', ['host-2', 'a', '127.0.0.1', 1, 1, 'idle', 0, 2, [null, [1]], 0, [null, [1]]]],
      ['notices', [0, 0, [null, [1]], []]],
      ['notices', [0, 0, [], [null, [1]]]],
      ['notices', [null, [1]]],
    ].map((fields) => Buffer.from(JSON.stringify([EXCHANGE_VERSION, ...fields])));
    // Numbers of members, and lengths of their names, that the datagram does not have.
    const noMembers = encodeMessage({ ...HEARTBEAT, members: [] });
    const tooLong = [0x01, 0x7f, 0xff].map((length) =>
      Buffer.concat([noMembers.subarray(0, -1), Buffer.of(length, length, length, length, 0x0f)]),
    );
    const wrongChanges = ['{', 'null', '{"after":null,"asOf":3}', '{"records":[null]}'].map(
      (text) => encodeMessage({ kind: 'changes', text }),
    );
    for (const bytes of [...wrongTypes, ...nestedWrong, ...tooLong, ...wrongChanges])
      await send(bytes);
    const valid = MESSAGES.map((message) => encodeMessage(message));
    await fc.assert(fc.asyncProperty(damaged(valid), send), { seed: SEED, numRuns: RUNS });
    await platform.sleep(200);
    socket.close();
    await expectServing();
    platform.configure([{ prefix: '/other/', service: 'reads', isIdempotent: true }]);
    // A damaged heartbeat may name a host that seems to read the source until it is silent for a while.
    await untilConfigured(7);
    expect((await platform.call('GET', '/other/x')).status).toBe(200);
  });

  // Guards against an answer of the store that ends the reading task or empties the catalog.
  it('are no harm as answers of the store', async () => {
    const mangled = fc.sample(damaged([Buffer.from('{"events":[],"as_of":5}')]), {
      seed: SEED,
      numRuns: 30,
    });
    let next = 0;
    platform.store.mangle = (reply) => {
      next += 1;
      const kinds = [
        () => reply.slice(0, -1 - (next % reply.length)),
        () => reply + reply,
        () => mangled[next % mangled.length]!.toString('latin1'),
        () => '{"events":[{"key":7}],"as_of":"x"}',
        () => '{"items":null,"as_of":-1}',
      ];
      return kinds[next % kinds.length]!();
    };
    for (let change = 0; change < 6; change += 1) {
      platform.store.put(`servers/i-new-${change}`, { address: 7 });
      await platform.sleep(250);
      await expectServing();
    }
    platform.store.mangle = null;
    platform.configure([{ prefix: '/other/', service: 'reads', isIdempotent: true }]);
    await untilConfigured(7);
    expect((await platform.call('GET', '/other/x')).status).toBe(200);
  }, 30_000);

  // Guards against a request to the control address that takes the process down or is never answered.
  it('are no harm as control requests', async () => {
    const lines = ['GET /catalog?after=0', 'GET /status', 'GET /metrics', 'POST /catalog'];
    const requests = lines.map((line) => Buffer.from(`${line} HTTP/1.1\r\nHost: x\r\n\r\n`));
    const exchange = (bytes: Buffer) =>
      new Promise<string>((resolve) => {
        const socket = connect(platform.controlPort, '127.0.0.1');
        let received = '';
        socket.on('data', (chunk) => {
          received += chunk.toString('latin1');
          socket.end();
        });
        socket.on('error', () => {});
        socket.on('close', () => resolve(received));
        socket.end(bytes);
      });
    for (const path of ['//', '/catalog?after=x', '/catalog?after=-1', '/__proto__', '/%']) {
      const reply = await exchange(Buffer.from(`GET ${path} HTTP/1.1\r\nHost: x\r\n\r\n`));
      expect([path, /^HTTP\/1\.1 4\d\d/.test(reply)]).toEqual([path, true]);
    }
    const isAnsweredOrClosed = async (bytes: Buffer) => (await exchange(bytes)).length >= 0;
    await fc.assert(fc.asyncProperty(damaged(requests), isAnsweredOrClosed), {
      seed: SEED,
      numRuns: 200,
    });
    await expectServing();
  }, 30_000);
});
