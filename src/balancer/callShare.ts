import { rendezvousOrder } from '../runtime';

// Hosts that this one cannot see may also send calls, so at least this many are assumed: fleets
// have up to 20 hosts including spares.
export const MIN_ASSUMED_HOSTS = 20;

/** What a host knows about the fleet when it computes its share of the calls to a target. */
export interface FleetSize {
  readonly hostId: string;
  /** This host and the live ones of its zone that use the target. */
  readonly zoneHosts: readonly string[];
  /** Highest number of hosts of all zones that were live at the same time. */
  readonly maxLiveHostCount: number;
}

/**
 * Calls per second that this host may send to a target that takes `callsPerSecond` from all hosts. If
 * that is at least one call per second for each assumed host, all hosts have the same share, rounded
 * down, however many are serving. Otherwise the first hosts of the target's zone, in the order of the
 * target (rendezvous hashing), have equal shares of at most one call per second, because hosts of one
 * zone know each other. A host that sees no other host of its zone then has no share, since others
 * may have taken over its place; this holds only if more than 2 hosts were live at once.
 */
export function callShare(
  target: string,
  isOwnZone: boolean,
  callsPerSecond: number,
  fleet: FleetSize,
): number {
  const assumedHosts = Math.max(MIN_ASSUMED_HOSTS, fleet.maxLiveHostCount);
  const share = Math.floor(callsPerSecond / assumedHosts);
  if (share >= 1) return share;
  const isAlone = fleet.zoneHosts.length === 1 && fleet.maxLiveHostCount > 2;
  if (!isOwnZone || isAlone || callsPerSecond <= 0) return 0;
  const shares = Math.ceil(callsPerSecond);
  const hostsWithShare = rendezvousOrder(target, fleet.zoneHosts).slice(0, shares);
  return hostsWithShare.includes(fleet.hostId) ? callsPerSecond / shares : 0;
}
