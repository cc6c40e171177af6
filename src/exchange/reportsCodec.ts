import { type BinaryReader, type BinaryWriter } from '@bufbuild/protobuf/wire';

import { type ObservationKind, type TargetReport } from '../knowledge';

import { type ReportsMessage } from './message';
import { type MessageCodec } from './messageCodec';
import { readItems } from './readItems';

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

/** Recent observations of targets. */
export const REPORTS_CODEC: MessageCodec<ReportsMessage> = {
  tag: 2,
  encode: ({ reports }, writer) => {
    writer.uint32(reports.length);
    for (const report of reports) writeReport(writer, report);
  },
  decode: (reader, { shouldRebroadcast }) => ({
    kind: 'reports',
    shouldRebroadcast,
    reports: readItems(reader, readReport),
  }),
};
