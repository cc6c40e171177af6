import { type Message } from './message';
import { decodePacked, encodePacked, PACKED_CODECS, type PackedMessage } from './packedCodec';
import { changesFieldsSchema, noticesFieldsSchema, heartbeatSchema } from './textSchemas';

/** Protocol version; datagrams of any other version are dropped. */
export const EXCHANGE_VERSION = 4;

/** Largest message that fits into one datagram without IP fragmentation. */
export const MAX_DATAGRAM_BYTES = 1350;

type Fields = readonly unknown[];

// Messages in JSON start with a bracket; any other first byte is the tag of a packed message.
const JSON_FIRST_BYTE = 0x5b;

interface Codec<Kind extends Message> {
  encode(message: Kind): Fields;
  decode(fields: Fields): Kind;
}

type TextKind = Exclude<Message['kind'], keyof typeof PACKED_CODECS>;

type Codecs = { readonly [Name in TextKind]: Codec<Extract<Message, { kind: Name }>> };

// Fields are sent by position, without names, to keep heartbeats small. Their order is the wire
// format.
const CODECS: Codecs = {
  heartbeat: {
    encode: (heartbeat) => [
      ...heartbeat.host,
      ...[
        heartbeat.incarnation,
        heartbeat.asOf,
        heartbeat.source,
        heartbeat.isLeaving ? 1 : 0,
        heartbeat.zoneSize,
      ],
      ...(heartbeat.members === undefined &&
      !heartbeat.shouldReplyWithMembers &&
      heartbeat.newest === heartbeat.asOf
        ? []
        : [
            heartbeat.members ?? null,
            heartbeat.shouldReplyWithMembers ? 1 : 0,
            heartbeat.otherZone ?? null,
            heartbeat.newest,
            heartbeat.fingerprint,
          ]),
    ],
    decode: (fields) => {
      const [
        id,
        zone,
        ip,
        incarnation,
        asOf,
        source,
        isLeaving,
        zoneSize,
        members,
        shouldReply,
        otherZone,
        newest,
        fingerprint,
      ] = heartbeatSchema.parse(fields);
      return {
        kind: 'heartbeat',
        host: [id, zone, ip],
        ...{ incarnation, asOf, source, zoneSize },
        newest: newest ?? asOf,
        fingerprint: fingerprint ?? 0,
        isLeaving: isLeaving === 1,
        members: members ?? undefined,
        shouldReplyWithMembers: shouldReply === 1,
        otherZone: otherZone ?? undefined,
      };
    },
  },
  changes: {
    encode: (message) => [message.shouldRebroadcast ? 1 : 0, message.text],
    decode: (fields) => {
      const [shouldRebroadcast, text] = changesFieldsSchema.parse(fields);
      return { kind: 'changes', shouldRebroadcast: shouldRebroadcast === 1, text };
    },
  },
  notices: {
    encode: ({ shouldRebroadcast, isRepeated, crashes, leaving }) => [
      shouldRebroadcast ? 1 : 0,
      isRepeated ? 1 : 0,
      crashes.map((history) => [
        ...[history.fingerprint, history.crashes, history.cleared, history.leftMs],
      ]),
      leaving.map(({ id, startedAt }) => [id, startedAt]),
    ],
    decode: (fields) => {
      const [shouldRebroadcast, isRepeated, histories, leaving] = noticesFieldsSchema.parse(fields);
      return {
        kind: 'notices',
        shouldRebroadcast: shouldRebroadcast === 1,
        isRepeated: isRepeated === 1,
        crashes: histories.map(([fingerprint, crashes, cleared, leftMs]) => ({
          ...{ fingerprint, crashes, cleared, leftMs },
        })),
        leaving: leaving.map(([id, startedAt]) => ({ id, startedAt })),
      };
    },
  },
};

function isPacked(message: Message): message is PackedMessage {
  return message.kind in PACKED_CODECS;
}

/** Encodes a message as the payload of a datagram. */
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

/** Decodes a datagram; null when it is not a valid message of this protocol version. */
export function decodeMessage(bytes: Buffer): Message | null {
  try {
    return bytes[0] === JSON_FIRST_BYTE ? decodeText(bytes) : decodePacked(bytes, EXCHANGE_VERSION);
  } catch {
    // The caller reports it as an unreadable datagram.
    return null;
  }
}
