import { type BinaryReader, type BinaryWriter } from '@bufbuild/protobuf/wire';

import { type SourceState } from '../source';

import { type HostState } from './message';
import { readRevision } from './readRevision';

// The index of a state is its value on the wire.
const SOURCE_STATES: readonly SourceState[] = ['idle', 'reading', 'failing'];

// The first field has the source state in its lowest two bits, these two flags, and the flags of the
// message from EXTRA_FLAGS on.
const SOURCE_VALUES = 4;
const LEAVING = 4;
const HAS_NEWER_RECORDS = 8;
const EXTRA_FLAGS = 16;

/** Writes the state of a host and `extraFlags`, a number below 8. */
export function writeState(writer: BinaryWriter, state: HostState, extraFlags: number): void {
  const hasNewerRecords = state.newest !== state.asOf || state.fingerprint !== 0;
  writer.uint32(
    SOURCE_STATES.indexOf(state.source) +
      (state.isLeaving ? LEAVING : 0) +
      (hasNewerRecords ? HAS_NEWER_RECORDS : 0) +
      extraFlags * EXTRA_FLAGS,
  );
  writer.fixed32(state.incarnation);
  writer.uint64(state.asOf);
  if (hasNewerRecords) {
    writer.uint64(state.newest);
    writer.fixed32(state.fingerprint);
  }
  writer.uint32(state.zoneSize);
}

/** Reads what `writeState` has written. */
export function readState(reader: BinaryReader): { state: HostState; extraFlags: number } {
  const flags = reader.uint32();
  const source = SOURCE_STATES[flags % SOURCE_VALUES];
  if (source === undefined) throw new RangeError('unknown source state');
  const incarnation = reader.fixed32();
  const asOf = readRevision(reader);
  const hasNewerRecords = Math.floor(flags / HAS_NEWER_RECORDS) % 2 === 1;
  const newest = hasNewerRecords ? readRevision(reader) : asOf;
  const fingerprint = hasNewerRecords ? reader.fixed32() : 0;
  const isLeaving = Math.floor(flags / LEAVING) % 2 === 1;
  const zoneSize = reader.uint32();
  return {
    state: { incarnation, asOf, newest, fingerprint, source, isLeaving, zoneSize },
    extraFlags: Math.floor(flags / EXTRA_FLAGS),
  };
}
