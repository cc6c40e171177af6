import { decodeMessage, encodeMessage, EXCHANGE_VERSION } from '../../src/exchange/datagramCodec';
import { type Message } from '../../src/exchange/message';
import { type TargetReport } from '../../src/knowledge';
import { SeededRandom } from '../../src/runtime';

const SEEN: TargetReport = {
  target: 'i-e0933785bc',
  age: 12.3,
  running: 0,
  waiting: 2,
  pace: 700,
  sight: 'refusal',
  coldLeft: null,
};

const MESSAGES: readonly Message[] = [
  { kind: 'reports', passOn: true, reports: [SEEN, { ...SEEN, running: null, coldLeft: 0 }] },
  {
    kind: 'flights',
    passOn: false,
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
  { kind: 'crash', passOn: true, fingerprint: 'GET /x', callId: 'c-1', cleared: false },
];

describe('the codec of datagrams', () => {
  // Guards against a figure that changes on the way, above all one that is unknown or nought.
  it.each(MESSAGES.map((message) => [message.kind, message] as const))(
    'keeps every field of %s',
    (_kind, message) => {
      expect(decodeMessage(encodeMessage(message))).toEqual(message);
    },
  );

  // Guards against counts that outgrow the bytes of a host: the ids as text took 55 bytes.
  it('needs at most 20 bytes for one change of calls in flight', () => {
    const calls = new Map([[4_000_000_000, 3]]);
    const counts = [{ host: 4_000_000_000, sequence: 100_000, calls }];
    expect(encodeMessage({ kind: 'flights', counts }).length).toBeLessThanOrEqual(20);
  });

  // Guards against a host that takes the figures of another version for its own.
  it('understands no other version', () => {
    for (const message of MESSAGES.slice(0, 2)) {
      const bytes = encodeMessage(message);
      bytes[1] = EXCHANGE_VERSION + 1;
      expect(decodeMessage(bytes)).toBeNull();
    }
  });

  // Guards against a process that ends, or that takes half a message, for a datagram that is cut off or
  // comes from elsewhere. The seed is printed when it fails.
  it.each([1, 2, 3])('takes no cut or spoilt datagram for more than it is, seed %d', (seed) => {
    const random = new SeededRandom(seed);
    for (const message of MESSAGES) {
      const bytes = encodeMessage(message);
      for (let length = 0; length < bytes.length; length += 1) {
        const cut = decodeMessage(bytes.subarray(0, length));
        // A count of nothing may end early; what is read never differs from what was sent.
        if (cut !== null) expect(cut).toEqual(message);
      }
      for (let turn = 0; turn < 200; turn += 1) {
        const spoilt = Buffer.from(bytes);
        spoilt[random.integer(spoilt.length)] = random.integer(256);
        expect(() => decodeMessage(spoilt)).not.toThrow();
      }
    }
  });
});
