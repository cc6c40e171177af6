import { rendezvousChoice } from '../runtime';
import { type Sheet, type Target } from '../sheet';

import { type Owner } from './owner';

/** Owner of each target of a region, with the inputs it was computed from. */
export interface Assignment {
  readonly sheet: Sheet;
  /** Owner host id by target id; targets without an eligible owner are omitted. */
  readonly owners: ReadonlyMap<string, string>;
  /** Ids of the members that may own targets of a zone, joined by commas, by zone. */
  readonly candidates: ReadonlyMap<string, string>;
}

/** Ids of the members by zone, for the zones of the region that the members are in. */
function membersByZone(sheet: Sheet, members: readonly string[]): ReadonlyMap<string, string[]> {
  const zoneOf = (member: string) => sheet.hosts.get(member)?.zone;
  const regions = new Set(
    members.flatMap((member) => sheet.zones.get(zoneOf(member) ?? '')?.region ?? []),
  );
  const groups = new Map<string, string[]>();
  for (const zone of sheet.zones.values()) {
    if (!regions.has(zone.region)) continue;
    const inZone = members.filter((member) => zoneOf(member) === zone.zone);
    const listed = members.filter((member) => sheet.hosts.has(member));
    groups.set(zone.zone, inZone.length > 0 ? inZone : listed);
  }
  return groups;
}

function previousOwner(
  target: string,
  zone: string,
  candidates: ReadonlyMap<string, string>,
  previous: Assignment | null,
): string | undefined {
  if (previous === null || previous.sheet.targets.get(target)?.zone !== zone) return undefined;
  if (previous.candidates.get(zone) !== candidates.get(zone)) return undefined;
  return previous.owners.get(target);
}

/**
 * Assigns an owner to each target of the members' region by rendezvous hashing: a member in the
 * target's own zone, or any member when that zone has none. Zones whose members equal those in
 * `previous` keep their owners, so the cost is proportional to what changed.
 */
export function assignOwners(
  sheet: Sheet,
  members: readonly string[],
  previous: Assignment | null = null,
): Assignment {
  const groups = membersByZone(sheet, members);
  const candidates = new Map([...groups].map(([zone, ids]) => [zone, ids.join(',')]));
  const owners = new Map<string, string>();
  for (const { target, zone } of sheet.targets.values()) {
    const group = groups.get(zone);
    if (group === undefined) continue;
    const owner =
      previousOwner(target, zone, candidates, previous) ?? rendezvousChoice(target, group);
    if (owner !== undefined) owners.set(target, owner);
  }
  return { sheet, owners, candidates };
}

/** Groups each service's in-service targets by owner. */
export function groupOwners(
  sheet: Sheet,
  owners: ReadonlyMap<string, string>,
  zonesOut: readonly string[],
): ReadonlyMap<string, readonly Owner[]> {
  const groups = new Map<string, readonly Owner[]>();
  for (const [service, targets] of sheet.targetsOf) {
    const byHost = new Map<string, Target[]>();
    for (const target of targets) {
      const owner = owners.get(target.target);
      if (owner === undefined || zonesOut.includes(target.zone)) continue;
      const group = byHost.get(owner);
      if (group === undefined) byHost.set(owner, [target]);
      else group.push(target);
    }
    const grouped = [...byHost].map(([hostId, owned]) => ({
      host: sheet.hosts.get(hostId)!,
      targets: owned,
      slots: owned.reduce((sum, target) => sum + target.slots, 0),
    }));
    groups.set(service, grouped);
  }
  return groups;
}
