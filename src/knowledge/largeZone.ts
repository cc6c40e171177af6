// Counts of calls in flight go from each host to each neighbour, so that their number grows with the
// square of the zone: at 37 neighbours they took half of the datagrams and of the processor time of a
// host that carried five calls a second.
const MOST_TELLING_NEIGHBOURS = 8;

/** Whether a zone is too large for its hosts to tell each other their calls in flight. */
export function isLargeZone(neighbours: number): boolean {
  return neighbours > MOST_TELLING_NEIGHBOURS;
}
