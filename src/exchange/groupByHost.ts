/** The items of each host; an item may belong to several. */
export function groupByHost<Item>(
  items: readonly Item[],
  hostsOf: (item: Item) => readonly string[],
): ReadonlyMap<string, readonly Item[]> {
  const byHost = new Map<string, Item[]>();
  for (const item of items) {
    for (const host of hostsOf(item)) {
      const known = byHost.get(host);
      if (known === undefined) byHost.set(host, [item]);
      else known.push(item);
    }
  }
  return byHost;
}
