// Each host sends its in-flight counts to each neighbour, so that the traffic grows with the square
// of the zone size: simulated hosts with 37 neighbours and 22 calls per second send 34.2 KB/s with
// these counts and 4.8 KB/s without (test/exchange).
const MAX_BROADCAST_NEIGHBOURS = 8;

/** Whether a zone is too large for its hosts to broadcast their in-flight counts. */
export function isLargeZone(neighbours: number): boolean {
  return neighbours > MAX_BROADCAST_NEIGHBOURS;
}

/**
 * Users of a target that tell each other their calls in flight. In the fleet model with 25 hosts a zone
 * and targets of 2 slots, hosts send 3.4 KB/s with 13 users, 4.2 with 17 and 5.1 with 25 (`npm run
 * measure -- calm-load`).
 */
export const MAX_COUNTED_USERS = 17;
