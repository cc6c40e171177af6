import { type Random } from './random';

/** Up to `count` of the items, chosen at random. */
export function sample<Item>(
  random: Random,
  items: readonly Item[],
  count: number,
): readonly Item[] {
  return items
    .map((item) => ({ item, order: random.next() }))
    .sort((left, right) => left.order - right.order)
    .slice(0, count)
    .map(({ item }) => item);
}
