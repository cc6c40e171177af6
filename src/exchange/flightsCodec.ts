import { type BinaryReader, type BinaryWriter } from '@bufbuild/protobuf/wire';

import { type InFlightCounts } from '../knowledge';

import { type InFlightCountsMessage, type SenderCounts } from './message';
import { type MessageCodec } from './messageCodec';
import { readItems } from './readItems';

// The first field has the number of targets in its lowest bits; one that is not lower than this value
// follows in a field of its own, less this value.
const SIZE_VALUES = 8;
const MAX_INLINE_SIZE = SIZE_VALUES - 1;

function writeCounts(writer: BinaryWriter, { sequence, calls }: SenderCounts): void {
  writer.uint32(sequence * SIZE_VALUES + Math.min(calls.size, MAX_INLINE_SIZE));
  if (calls.size >= MAX_INLINE_SIZE) writer.uint32(calls.size - MAX_INLINE_SIZE);
  for (const [target, count] of calls) {
    writer.fixed32(target);
    writer.uint32(count);
  }
}

function readCounts(reader: BinaryReader): SenderCounts {
  const header = reader.uint32();
  const inlineSize = header % SIZE_VALUES;
  const size = inlineSize === MAX_INLINE_SIZE ? inlineSize + reader.uint32() : inlineSize;
  const calls = new Map<number, number>();
  for (let remaining = size; remaining > 0; remaining -= 1)
    calls.set(reader.fixed32(), reader.uint32());
  return { sequence: Math.floor(header / SIZE_VALUES), calls };
}

/**
 * In-flight counts: first those of the sender, if there are any, without the key of its id. The short
 * form has these only.
 */
export const FLIGHTS_CODEC: MessageCodec<InFlightCountsMessage> = {
  tag: 1,
  isShort: ({ own, counts }) => own !== undefined && counts.length === 0,
  encode: ({ own, counts }, writer) => {
    if (counts.length > 0 || own === undefined)
      writer.uint32(counts.length * 2 + (own === undefined ? 0 : 1));
    if (own !== undefined) writeCounts(writer, own);
    for (const count of counts) {
      writer.fixed32(count.host);
      writeCounts(writer, count);
    }
  },
  decode: (reader, { shouldRebroadcast, isShort }) => {
    if (isShort) return { kind: 'flights', shouldRebroadcast, own: readCounts(reader), counts: [] };
    const header = reader.uint32();
    const own = header % 2 === 1 ? readCounts(reader) : undefined;
    const counts = readItems(
      reader,
      (): InFlightCounts => ({ host: reader.fixed32(), ...readCounts(reader) }),
      Math.floor(header / 2),
    );
    return { kind: 'flights', shouldRebroadcast, own, counts };
  },
};
