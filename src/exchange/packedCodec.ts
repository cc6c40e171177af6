import { BinaryReader, BinaryWriter } from '@bufbuild/protobuf/wire';

import { type FlightCounts, type TargetReport, type TargetSight } from '../knowledge';

import { type Flights, type Reports } from './message';

/** Messages that are sent some hundred times a second; as text their ids and brackets were 5/6 of them. */
export type PackedMessage = Flights | Reports;

interface PackedCodec<Kind extends PackedMessage> {
  /** First byte of the message. */
  readonly tag: number;
  encode(message: Kind, writer: BinaryWriter): void;
  decode(reader: BinaryReader, passOn: boolean): Kind;
}

type PackedCodecs = {
  readonly [Name in PackedMessage['kind']]: PackedCodec<Extract<PackedMessage, { kind: Name }>>;
};

// Ages and cold periods are sent in tenths of a millisecond and in milliseconds.
const AGE_UNITS = 10;

// The position of a sight is its number on the wire.
const SIGHTS: readonly TargetSight[] = ['answer', 'probe', 'ill', 'failure', 'refusal', 'lost'];

// Numbers that may be unknown are sent as one more, with 0 for unknown.
function writeOptional(writer: BinaryWriter, value: number | null): void {
  writer.uint32(value === null ? 0 : Math.max(0, Math.round(value)) + 1);
}

function readOptional(reader: BinaryReader): number | null {
  const value = reader.uint32();
  return value === 0 ? null : value - 1;
}

function writeReport(writer: BinaryWriter, report: TargetReport): void {
  writer.string(report.target);
  writer.uint32(SIGHTS.indexOf(report.sight));
  writer.uint32(Math.max(0, Math.round(report.age * AGE_UNITS)));
  for (const value of [report.running, report.waiting, report.pace, report.coldLeft]) {
    writeOptional(writer, value);
  }
}

function readReport(reader: BinaryReader): TargetReport {
  const target = reader.string();
  const sight = SIGHTS[reader.uint32()];
  if (sight === undefined) throw new RangeError('unknown sight');
  const age = reader.uint32() / AGE_UNITS;
  const running = readOptional(reader);
  const waiting = readOptional(reader);
  const pace = readOptional(reader);
  const coldLeft = readOptional(reader);
  return { target, age, running, waiting, pace, sight, coldLeft };
}

function writeCounts(writer: BinaryWriter, { host, sequence, calls }: FlightCounts): void {
  writer.fixed32(host);
  writer.uint32(sequence);
  writer.uint32(calls.size);
  for (const [target, count] of calls) {
    writer.fixed32(target);
    writer.uint32(count);
  }
}

function readCounts(reader: BinaryReader): FlightCounts {
  const host = reader.fixed32();
  const sequence = reader.uint32();
  const calls = new Map<number, number>();
  for (let left = reader.uint32(); left > 0; left -= 1)
    calls.set(reader.fixed32(), reader.uint32());
  return { host, sequence, calls };
}

function readAll<Item>(reader: BinaryReader, readOne: (from: BinaryReader) => Item): Item[] {
  const items: Item[] = [];
  for (let left = reader.uint32(); left > 0; left -= 1) items.push(readOne(reader));
  return items;
}

/** Codecs of the packed messages, by kind. */
export const PACKED_CODECS: PackedCodecs = {
  flights: {
    tag: 1,
    encode: ({ counts }, writer) => {
      writer.uint32(counts.length);
      for (const count of counts) writeCounts(writer, count);
    },
    decode: (reader, passOn) => ({ kind: 'flights', passOn, counts: readAll(reader, readCounts) }),
  },
  reports: {
    tag: 2,
    encode: ({ reports }, writer) => {
      writer.uint32(reports.length);
      for (const report of reports) writeReport(writer, report);
    },
    decode: (reader, passOn) => ({ kind: 'reports', passOn, reports: readAll(reader, readReport) }),
  },
};

/** Bytes of a packed message: its tag, the version of the protocol, whether it is passed on, its items. */
export function encodePacked(message: PackedMessage, version: number): Buffer {
  const codec = PACKED_CODECS[message.kind] as PackedCodec<PackedMessage>;
  const writer = new BinaryWriter();
  writer
    .uint32(codec.tag)
    .uint32(version)
    .bool(message.passOn === true);
  codec.encode(message, writer);
  return Buffer.from(writer.finish());
}

/** The packed message of a datagram; null when it has another version or tag. Throws when it is cut off. */
export function decodePacked(bytes: Buffer, version: number): PackedMessage | null {
  const reader = new BinaryReader(bytes);
  const tag = reader.uint32();
  const codec = Object.values(PACKED_CODECS).find((candidate) => candidate.tag === tag);
  if (codec === undefined || reader.uint32() !== version) return null;
  return codec.decode(reader, reader.bool());
}
