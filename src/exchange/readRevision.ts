import { type BinaryReader } from '@bufbuild/protobuf/wire';

/** Reads a revision; throws when it is too large for a number. */
export function readRevision(reader: BinaryReader): number {
  const revision = Number(reader.uint64());
  if (!Number.isSafeInteger(revision)) throw new RangeError('revision is out of range');
  return revision;
}
