import { type BinaryReader } from '@bufbuild/protobuf/wire';

/** Reads `count` items, a number that comes first if it is not given. */
export function readItems<Item>(
  reader: BinaryReader,
  readItem: (from: BinaryReader) => Item,
  count = reader.uint32(),
): Item[] {
  const items: Item[] = [];
  for (let remaining = count; remaining > 0; remaining -= 1) items.push(readItem(reader));
  return items;
}
