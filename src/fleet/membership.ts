import { type Contacts } from './contacts';
import { type FleetRecord } from './fleetRecord';
import { SILENCE_MS } from './timing';

/** A change of the members that the fleet needs. */
export interface MembershipChange {
  readonly members: readonly string[];
  /** Members removed because this host has no contact with them. */
  readonly silentHosts: readonly string[];
  readonly reason: string;
}

/** What membership is decided on. */
export interface MembershipBasis {
  readonly hostId: string;
  readonly leaving: boolean;
  readonly record: FleetRecord | null;
  /** Hosts of the region that the sheet in force lists. */
  readonly hosts: readonly string[];
  readonly contacts: Contacts;
  readonly now: number;
}

// Heartbeats arrive every 500 ms and echo one that is up to a second old.
const REACHABLE_MS = 1500;

function isSilent({ hostId, contacts, now }: MembershipBasis, host: string): boolean {
  return host !== hostId && now - contacts.contactAt(host) > SILENCE_MS;
}

function isLeaving(basis: MembershipBasis, host: string): boolean {
  return host === basis.hostId ? basis.leaving : basis.contacts.isLeaving(host);
}

function mayJoin(basis: MembershipBasis, host: string): boolean {
  if (isLeaving(basis, host)) return false;
  if (host === basis.hostId) return true;
  const { contacts, now } = basis;
  return contacts.isEstablished(host) && now - contacts.contactAt(host) < REACHABLE_MS;
}

/** The change of members that is due; null when there is none. */
export function neededChange(basis: MembershipBasis): MembershipChange | null {
  const current = basis.record?.members ?? [];
  const silentHosts = current.filter((host) => isSilent(basis, host));
  const leaving = current.filter((host) => isLeaving(basis, host) && !silentHosts.includes(host));
  const joining = basis.hosts.filter((host) => !current.includes(host) && mayJoin(basis, host));
  const unlisted = current.filter((host) => !basis.hosts.includes(host));
  const removed = new Set([...silentHosts, ...leaving, ...unlisted]);
  if (removed.size + joining.length === 0) return null;
  const members = [...current.filter((host) => !removed.has(host)), ...joining].sort();
  const parts = [
    silentHosts.length > 0 ? `silent: ${silentHosts.join(' ')}` : '',
    leaving.length > 0 ? `leaving: ${leaving.join(' ')}` : '',
    joining.length > 0 ? `joining: ${joining.join(' ')}` : '',
  ];
  return { members, silentHosts, reason: parts.filter((part) => part !== '').join('; ') };
}

/** Place of this host in the order in which live hosts propose automatic changes; 0 is first. */
export function proposerRank(basis: MembershipBasis): number {
  const members = basis.record?.members ?? [];
  const candidates = (members.length > 0 ? members : basis.hosts).filter(
    (host) =>
      host === basis.hostId || (basis.contacts.isEstablished(host) && !isSilent(basis, host)),
  );
  const rank = [...candidates].sort().indexOf(basis.hostId);
  return rank < 0 ? candidates.length : rank;
}
