import { type FlightCounts, type TargetReport } from '../knowledge';

import {
  type Changes,
  type CrashNotice,
  type Flights,
  type Heartbeat,
  type Message,
  type Reports,
} from './message';

/** Hosts of another protocol version are not understood, and their datagrams are dropped. */
export const EXCHANGE_VERSION = 1;

/** Largest message that fits into one datagram without fragments. */
export const DATAGRAM_BYTES = 1350;

type Fields = readonly unknown[];

interface Codec<Kind extends Message> {
  encode(message: Kind): Fields;
  decode(fields: Fields): Kind;
}

type Codecs = { readonly [Name in Message['kind']]: Codec<Extract<Message, { kind: Name }>> };

function reportFields(report: TargetReport): Fields {
  const { target, age, running, waiting, pace, sight, coldLeft } = report;
  return [target, age, running, waiting, pace, sight, coldLeft];
}

function reportOf(fields: Fields): TargetReport {
  const [target, age, running, waiting, pace, sight, coldLeft] = fields;
  return { target, age, running, waiting, pace, sight, coldLeft } as TargetReport;
}

function countsFields({ host, sequence, calls }: FlightCounts): Fields {
  return [host, sequence, [...calls].flat()];
}

function countsOf([host, sequence, flat]: Fields): FlightCounts {
  const calls = new Map<string, number>();
  const fields = flat as Fields;
  for (let index = 0; index + 1 < fields.length; index += 2) {
    calls.set(fields[index] as string, fields[index + 1] as number);
  }
  return { host: host as string, sequence: sequence as number, calls };
}

// Fields without names: heartbeats and reports are nearly all that hosts send to each other.
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
  reports: {
    encode: (message) => [message.passOn ? 1 : 0, message.reports.map(reportFields)],
    decode: ([passOn, reports]) =>
      ({
        kind: 'reports',
        passOn: passOn === 1,
        reports: (reports as Fields[]).map(reportOf),
      }) satisfies Reports,
  },
  flights: {
    encode: (message) => [message.passOn ? 1 : 0, message.counts.map(countsFields)],
    decode: ([passOn, counts]) =>
      ({
        kind: 'flights',
        passOn: passOn === 1,
        counts: (counts as Fields[]).map(countsOf),
      }) satisfies Flights,
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

/** Bytes of a message. */
export function encodeMessage(message: Message): Buffer {
  const codec = CODECS[message.kind] as Codec<Message>;
  return Buffer.from(
    JSON.stringify([EXCHANGE_VERSION, message.kind, codec.encode(message)]),
    'utf8',
  );
}

/** The message of a datagram; null when it is no message of this protocol version. */
export function decodeMessage(bytes: Buffer): Message | null {
  try {
    const [version, kind, fields] = JSON.parse(bytes.toString('utf8')) as [
      unknown,
      Message['kind'],
      Fields,
    ];
    return version === EXCHANGE_VERSION ? CODECS[kind].decode(fields) : null;
  } catch {
    // Counted by the caller as an unreadable datagram.
    return null;
  }
}
