import { type HeartbeatTracker } from './contacts';
import { type FleetRecord } from './fleetRecord';
import { REMOVAL_SILENCE_MS } from './timing';

/** A membership change that is due. */
export interface MembershipChange {
  readonly members: readonly string[];
  /** Members removed because this host has no contact with them. */
  readonly silentHosts: readonly string[];
  readonly reason: string;
}

/** Inputs of a membership decision. */
export interface MembershipBasis {
  readonly hostId: string;
  readonly leaving: boolean;
  readonly record: FleetRecord | null;
  /** Hosts of the region that the sheet in force lists. */
  readonly hosts: readonly string[];
  readonly heartbeats: HeartbeatTracker;
  readonly now: number;
}

// Heartbeats arrive every 500 ms and echo one that is up to one second old.
const REACHABLE_AGE_MS = 1500;

function isSilent({ hostId, heartbeats, now }: MembershipBasis, host: string): boolean {
  return host !== hostId && now - heartbeats.lastContactAt(host) > REMOVAL_SILENCE_MS;
}

function isLeaving(basis: MembershipBasis, host: string): boolean {
  return host === basis.hostId ? basis.leaving : basis.heartbeats.isLeaving(host);
}

function mayJoin(basis: MembershipBasis, host: string): boolean {
  if (isLeaving(basis, host)) return false;
  if (host === basis.hostId) return true;
  const { heartbeats, now } = basis;
  return heartbeats.isEstablished(host) && now - heartbeats.lastContactAt(host) < REACHABLE_AGE_MS;
}

/** The membership change that is due; null when there is none. */
export function requiredChange(basis: MembershipBasis): MembershipChange | null {
  const current = basis.record?.members ?? [];
  const silentHosts = current.filter((host) => isSilent(basis, host));
  const leaving = current.filter((host) => isLeaving(basis, host) && !silentHosts.includes(host));
  const joining = basis.hosts.filter((host) => !current.includes(host) && mayJoin(basis, host));
  const unlisted = current.filter((host) => !basis.hosts.includes(host));
  const removed = new Set([...silentHosts, ...leaving, ...unlisted]);
  if (removed.size + joining.length === 0) return null;
  const members = [...current.filter((host) => !removed.has(host)), ...joining].sort();
  const reasons = [
    silentHosts.length > 0 ? `silent: ${silentHosts.join(' ')}` : '',
    leaving.length > 0 ? `leaving: ${leaving.join(' ')}` : '',
    joining.length > 0 ? `joining: ${joining.join(' ')}` : '',
  ];
  return { members, silentHosts, reason: reasons.filter((part) => part !== '').join('; ') };
}

/** Rank of this host among the live hosts that may propose automatic changes; 0 is first. */
export function proposerRank(basis: MembershipBasis): number {
  const members = basis.record?.members ?? [];
  const candidates = (members.length > 0 ? members : basis.hosts).filter(
    (host) =>
      host === basis.hostId || (basis.heartbeats.isEstablished(host) && !isSilent(basis, host)),
  );
  const rank = [...candidates].sort().indexOf(basis.hostId);
  return rank < 0 ? candidates.length : rank;
}
