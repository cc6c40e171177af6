import { type Changes, type CrashNotice, type Heartbeat, type Message } from './message';
import { decodePacked, encodePacked, PACKED_CODECS, type PackedMessage } from './packedCodec';

/** Hosts of another protocol version are not understood, and their datagrams are dropped. */
export const EXCHANGE_VERSION = 2;

/** Largest message that fits into one datagram without fragments. */
export const DATAGRAM_BYTES = 1350;

type Fields = readonly unknown[];

// The first byte of a message as JSON text is a bracket; other first bytes are tags of packed messages.
const JSON_START = 0x5b;

interface Codec<Kind extends Message> {
  encode(message: Kind): Fields;
  decode(fields: Fields): Kind;
}

type TextKind = Exclude<Message['kind'], keyof typeof PACKED_CODECS>;

type Codecs = { readonly [Name in TextKind]: Codec<Extract<Message, { kind: Name }>> };

// Fields without names keep heartbeats small.
const CODECS: Codecs = {
  heartbeat: {
    encode: (beat) => [
      ...beat.host,
      ...[beat.incarnation, beat.asOf, beat.source, beat.isLeaving ? 1 : 0, beat.zoneSize],
      ...(beat.members === undefined && !beat.asksMembers
        ? []
        : [beat.members ?? null, beat.asksMembers ? 1 : 0, beat.far ?? null]),
    ],
    decode: (fields) => {
      const [id, zone, ip, incarnation, asOf, source, isLeaving, zoneSize, members, asks, far] =
        fields;
      return {
        kind: 'heartbeat',
        host: [id, zone, ip],
        ...{ incarnation, asOf, source, zoneSize },
        isLeaving: isLeaving === 1,
        members: members ?? undefined,
        asksMembers: asks === 1,
        far: far ?? undefined,
      } as Heartbeat;
    },
  },
  changes: {
    encode: (message) => [message.passOn ? 1 : 0, message.text],
    decode: ([passOn, text]) =>
      ({ kind: 'changes', passOn: passOn === 1, text: text as string }) satisfies Changes,
  },
  crash: {
    encode: (notice) => [
      ...[notice.passOn ? 1 : 0, notice.fingerprint, notice.callId],
      notice.cleared ? 1 : 0,
    ],
    decode: ([passOn, fingerprint, callId, cleared]) =>
      ({
        kind: 'crash',
        passOn: passOn === 1,
        fingerprint: fingerprint as string,
        callId: callId as string,
        cleared: cleared === 1,
      }) satisfies CrashNotice,
  },
};

function isPacked(message: Message): message is PackedMessage {
  return message.kind in PACKED_CODECS;
}

/** Bytes of a message. */
export function encodeMessage(message: Message): Buffer {
  if (isPacked(message)) return encodePacked(message, EXCHANGE_VERSION);
  const codec = CODECS[message.kind] as Codec<Message>;
  return Buffer.from(
    JSON.stringify([EXCHANGE_VERSION, message.kind, codec.encode(message)]),
    'utf8',
  );
}

function decodeText(bytes: Buffer): Message | null {
  const [version, kind, fields] = JSON.parse(bytes.toString('utf8')) as [unknown, TextKind, Fields];
  return version === EXCHANGE_VERSION ? CODECS[kind].decode(fields) : null;
}

/** The message of a datagram; null when it is no message of this protocol version. */
export function decodeMessage(bytes: Buffer): Message | null {
  try {
    return bytes[0] === JSON_START ? decodeText(bytes) : decodePacked(bytes, EXCHANGE_VERSION);
  } catch {
    // Counted by the caller as an unreadable datagram.
    return null;
  }
}
