import { decodeMessage, encodeMessage, EXCHANGE_VERSION } from '../../src/exchange/datagramCodec';
import { type Message } from '../../src/exchange/message';
import { type TargetReport } from '../../src/knowledge';
import { SeededRandom } from '../../src/runtime';

const REPORT: TargetReport = {
  target: 'i-e0933785bc',
  age: 12.3,
  running: 0,
  waiting: 2,
  pace: 700,
  observation: 'refusal',
  coldLeft: null,
  callLimit: 4.8,
};

const MESSAGES: readonly Message[] = [
  {
    kind: 'reports',
    shouldRebroadcast: true,
    reports: [REPORT, { ...REPORT, running: null, coldLeft: 0, callLimit: Infinity }],
  },
  {
    kind: 'flights',
    shouldRebroadcast: false,
    counts: [
      {
        host: 4_294_967_295,
        sequence: 70_000,
        calls: new Map([
          [3, 0],
          [4_000_000_000, 300],
        ]),
      },
      { host: 0, sequence: 1, calls: new Map() },
    ],
  },
  {
    kind: 'digest',
    ...{ sender: 7, incarnation: 12, asOf: 40, newest: 44, fingerprint: 4_000_000_000 },
    ...{ source: 'failing', isLeaving: true, zoneSize: 38, ages: new Map([[9, 450]]) },
  },
  {
    kind: 'heartbeat',
    host: ['host-1', 'a', '10.0.0.1'],
    ...{ incarnation: 12, asOf: 40, newest: 44, fingerprint: 4_000_000_000 },
    ...{ source: 'reading', isLeaving: false, zoneSize: 5, members: [['h', 'b', '10.0.0.2']] },
    shouldReplyWithMembers: false,
  },
  {
    kind: 'notices',
    shouldRebroadcast: true,
    isRepeated: true,
    crashes: [{ fingerprint: 'f', crashes: ['i-1 7', 'i-2 9'], cleared: ['i-1 7'], leftMs: 300 }],
    leaving: [
      { id: 'i-1', startedAt: 7 },
      { id: 'i-2', startedAt: null },
    ],
  },
  {
    kind: 'flights',
    shouldRebroadcast: true,
    own: { sequence: 2047, calls: new Map(Array.from({ length: 9 }, (_, key) => [key, 1])) },
    counts: [],
  },
  {
    kind: 'flights',
    shouldRebroadcast: false,
    own: { sequence: 0, calls: new Map([[7, 1]]) },
    counts: [{ host: 5, sequence: 3, calls: new Map([[7, 2]]) }],
  },
  {
    kind: 'heartbeat',
    host: ['host-1', 'a', '10.0.0.1'],
    ...{ incarnation: 0, asOf: 2 ** 40, newest: 2 ** 40, fingerprint: 0 },
    ...{ source: 'idle', isLeaving: true, zoneSize: 5, otherZone: ['b', 6] },
    shouldReplyWithMembers: true,
  },
  {
    kind: 'quotaQuestion',
    ...{ number: 2 ** 21 - 1, tenant: 4_294_967_295, returned: 60 },
    ...{ isSubstitute: false, isHandedOver: true, isFarBelowLimit: false },
  },
  {
    kind: 'quotaQuestion',
    ...{
      number: 0,
      tenant: 0,
      returned: 0,
      isSubstitute: true,
      isHandedOver: false,
      isFarBelowLimit: true,
    },
  },
  { kind: 'quotaAnswer', number: 1, result: { kind: 'granted', isFarBelowLimit: true } },
  { kind: 'quotaAnswer', number: 2, result: { kind: 'exceeded', waitMs: 70_000 } },
  { kind: 'quotaAnswer', number: 3, result: { kind: 'unknown', waitMs: 0 } },
  { kind: 'quotaAnswer', number: 4, result: { kind: 'redirect', ip: '10.0.0.9', hasCeased: true } },
  { kind: 'proofRequest', token: 2 ** 30 - 1 },
  { kind: 'proofResponse', token: 1, revision: 2 ** 40, ageMs: 60_000 },
];

describe('the datagram codec', () => {
  // Guards against values that change in transit, above all null and zero.
  it.each(MESSAGES.map((message) => [message.kind, message] as const))(
    'keeps every field of %s',
    (_kind, message) => {
      expect(decodeMessage(encodeMessage(message))).toEqual(message);
    },
  );

  // Guards against in-flight counts that exceed the traffic limit of a host: with ids as text, a
  // change took 55 bytes.
  it('encodes one changed in-flight count in at most 20 bytes', () => {
    const calls = new Map([[4_000_000_000, 3]]);
    const counts = [{ host: 4_000_000_000, sequence: 100_000, calls }];
    expect(encodeMessage({ kind: 'flights', counts }).length).toBeLessThanOrEqual(20);
  });

  // Guards against questions and answers that take a large part of 6 KB/s, as each call has both.
  it('encodes a question about a quota and its answer in at most 16 bytes', () => {
    const messages = MESSAGES.filter(({ kind }) => kind.startsWith('quota')).slice(0, 3);
    const [question, , answer] = messages.map((message) => encodeMessage(message).length);
    expect(question! + answer!).toBeLessThanOrEqual(16);
  });

  // Guards against questions that a corrupted answer directs to anything but a host.
  it('rejects a redirection to something else than an IP address', () => {
    const result = { kind: 'redirect', ip: 'localhost', hasCeased: false } as const;
    expect(decodeMessage(encodeMessage({ kind: 'quotaAnswer', number: 4, result }))).toBeNull();
  });

  // Guards against a host that decodes messages of another protocol version as its own.
  it('rejects other protocol versions', () => {
    for (const message of MESSAGES.slice(0, 2)) {
      const bytes = encodeMessage(message);
      bytes[1] = EXCHANGE_VERSION + 1;
      expect(decodeMessage(bytes)).toBeNull();
    }
  });

  // Guards against a process that exits, or that accepts half a message, because of a truncated or
  // foreign datagram. The title of a failed test has its seed.
  it.each([1, 2, 3])(
    'decodes no wrong values from truncated or corrupted datagrams, seed %d',
    (seed) => {
      const random = new SeededRandom(seed);
      for (const message of MESSAGES) {
        const bytes = encodeMessage(message);
        for (let length = 0; length < bytes.length; length += 1) {
          const truncated = decodeMessage(bytes.subarray(0, length));
          // A truncated message may decode when only default values are missing; it never decodes
          // to other values.
          if (truncated !== null) expect(truncated).toEqual(message);
        }
        for (let round = 0; round < 200; round += 1) {
          const corrupted = Buffer.from(bytes);
          corrupted[random.integer(corrupted.length)] = random.integer(256);
          expect(() => decodeMessage(corrupted)).not.toThrow();
        }
      }
    },
  );
});
