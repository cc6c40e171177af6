import { BinaryReader, BinaryWriter } from '@bufbuild/protobuf/wire';

import { type InFlightCounts, type TargetReport, type ObservationKind } from '../knowledge';

import { type SourceState } from '../source';

import { type Digest, type InFlightCountsMessage, type ReportsMessage } from './message';

/**
 * Messages in a binary encoding, as some hundred are sent each second; in JSON, ids and brackets
 * took 5/6 of their bytes.
 */
export type PackedMessage = Digest | InFlightCountsMessage | ReportsMessage;

interface PackedCodec<Kind extends PackedMessage> {
  /** First byte of the message; part of the wire format. */
  readonly tag: number;
  encode(message: Kind, writer: BinaryWriter): void;
  decode(reader: BinaryReader, shouldRebroadcast: boolean): Kind;
}

type PackedCodecs = {
  readonly [Name in PackedMessage['kind']]: PackedCodec<Extract<PackedMessage, { kind: Name }>>;
};

// Ages are sent in tenths of a millisecond, remaining cold periods in milliseconds.
const AGE_UNITS_PER_MS = 10;

const CALL_LIMIT_UNITS = 1000;
// A higher limit binds no fleet.
const MAX_SENT_CALL_LIMIT = 1_000_000;

// The index of an observation kind is its value on the wire.
const OBSERVATION_KINDS: readonly ObservationKind[] = [
  'answer',
  'probe',
  'ill',
  'failure',
  'refusal',
  'lost',
];

// The index of a state is its value on the wire.
const SOURCE_STATES: readonly SourceState[] = ['idle', 'reading', 'failing'];

// Ages in digests are sent in units that are fine compared with the liveness timeout.
const DIGEST_AGE_UNIT_MS = 50;

// Optional numbers are sent incremented by one; 0 stands for null.
function writeOptional(writer: BinaryWriter, value: number | null): void {
  writer.uint32(value === null ? 0 : Math.max(0, Math.round(value)) + 1);
}

function readOptional(reader: BinaryReader): number | null {
  const value = reader.uint32();
  return value === 0 ? null : value - 1;
}

// Limits are sent in thousandths of a call per second, incremented by two; 1 stands for no limit.
function writeCallLimit(writer: BinaryWriter, limit: number | null): void {
  if (limit === null) writer.uint32(0);
  else if (limit > MAX_SENT_CALL_LIMIT) writer.uint32(1);
  else writer.uint32(Math.round(limit * CALL_LIMIT_UNITS) + 2);
}

function readCallLimit(reader: BinaryReader): number | null {
  const value = reader.uint32();
  if (value === 0) return null;
  return value === 1 ? Infinity : (value - 2) / CALL_LIMIT_UNITS;
}

function writeReport(writer: BinaryWriter, report: TargetReport): void {
  writer.string(report.target);
  writer.uint32(OBSERVATION_KINDS.indexOf(report.observation));
  writer.uint32(Math.max(0, Math.round(report.age * AGE_UNITS_PER_MS)));
  for (const value of [report.running, report.waiting, report.pace, report.coldLeft]) {
    writeOptional(writer, value);
  }
  writeCallLimit(writer, report.callLimit);
}

function readReport(reader: BinaryReader): TargetReport {
  const target = reader.string();
  const observation = OBSERVATION_KINDS[reader.uint32()];
  if (observation === undefined) throw new RangeError('report has an unknown observation kind');
  const age = reader.uint32() / AGE_UNITS_PER_MS;
  const running = readOptional(reader);
  const waiting = readOptional(reader);
  const pace = readOptional(reader);
  const coldLeft = readOptional(reader);
  const callLimit = readCallLimit(reader);
  return { target, age, running, waiting, pace, observation, coldLeft, callLimit };
}

function writeCounts(writer: BinaryWriter, { host, sequence, calls }: InFlightCounts): void {
  writer.fixed32(host);
  writer.uint32(sequence);
  writer.uint32(calls.size);
  for (const [target, count] of calls) {
    writer.fixed32(target);
    writer.uint32(count);
  }
}

function readCounts(reader: BinaryReader): InFlightCounts {
  const host = reader.fixed32();
  const sequence = reader.uint32();
  const calls = new Map<number, number>();
  for (let remaining = reader.uint32(); remaining > 0; remaining -= 1)
    calls.set(reader.fixed32(), reader.uint32());
  return { host, sequence, calls };
}

function writeDigest(writer: BinaryWriter, digest: Digest): void {
  writer.fixed32(digest.sender);
  writer.uint32(digest.incarnation);
  writer.uint64(digest.asOf);
  writer.uint64(digest.newest);
  writer.uint32(SOURCE_STATES.indexOf(digest.source));
  writer.bool(digest.isLeaving);
  writer.uint32(digest.zoneSize);
  writer.uint32(digest.ages.size);
  for (const [host, ageMs] of digest.ages) {
    writer.fixed32(host);
    writer.uint32(Math.round(Math.max(0, ageMs) / DIGEST_AGE_UNIT_MS));
  }
  writer.fixed32(digest.fingerprint);
}

function readDigest(reader: BinaryReader): Digest {
  const sender = reader.fixed32();
  const incarnation = reader.uint32();
  const asOf = Number(reader.uint64());
  const newest = Number(reader.uint64());
  const source = SOURCE_STATES[reader.uint32()];
  if (source === undefined) throw new RangeError('digest has an unknown source state');
  const isLeaving = reader.bool();
  const zoneSize = reader.uint32();
  const ages = new Map<number, number>();
  for (let remaining = reader.uint32(); remaining > 0; remaining -= 1)
    ages.set(reader.fixed32(), reader.uint32() * DIGEST_AGE_UNIT_MS);
  const fingerprint = reader.fixed32();
  return {
    kind: 'digest',
    ...{ sender, incarnation, asOf, newest, fingerprint, source, isLeaving, zoneSize, ages },
  };
}

function readItems<Item>(reader: BinaryReader, readItem: (from: BinaryReader) => Item): Item[] {
  const items: Item[] = [];
  for (let remaining = reader.uint32(); remaining > 0; remaining -= 1) items.push(readItem(reader));
  return items;
}

/** Codecs of the packed messages by kind. */
export const PACKED_CODECS: PackedCodecs = {
  flights: {
    tag: 1,
    encode: ({ counts }, writer) => {
      writer.uint32(counts.length);
      for (const count of counts) writeCounts(writer, count);
    },
    decode: (reader, shouldRebroadcast) => ({
      kind: 'flights',
      shouldRebroadcast,
      counts: readItems(reader, readCounts),
    }),
  },
  reports: {
    tag: 2,
    encode: ({ reports }, writer) => {
      writer.uint32(reports.length);
      for (const report of reports) writeReport(writer, report);
    },
    decode: (reader, shouldRebroadcast) => ({
      kind: 'reports',
      shouldRebroadcast,
      reports: readItems(reader, readReport),
    }),
  },
  digest: {
    tag: 3,
    encode: (digest, writer) => writeDigest(writer, digest),
    decode: (reader) => readDigest(reader),
  },
};

/** Encodes a packed message: tag, protocol version, whether it is rebroadcast, then its items. */
export function encodePacked(message: PackedMessage, version: number): Buffer {
  const codec = PACKED_CODECS[message.kind] as PackedCodec<PackedMessage>;
  const writer = new BinaryWriter();
  writer
    .uint32(codec.tag)
    .uint32(version)
    .bool('shouldRebroadcast' in message && message.shouldRebroadcast === true);
  codec.encode(message, writer);
  return Buffer.from(writer.finish());
}

/**
 * Decodes a packed message; null when its tag is unknown or its version differs. Throws when it is
 * truncated.
 */
export function decodePacked(bytes: Buffer, version: number): PackedMessage | null {
  const reader = new BinaryReader(bytes);
  const tag = reader.uint32();
  const codec = Object.values(PACKED_CODECS).find((candidate) => candidate.tag === tag);
  if (codec === undefined || reader.uint32() !== version) return null;
  return codec.decode(reader, reader.bool());
}
