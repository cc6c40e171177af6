import { rendezvousChoice } from '../runtime';
import { type Sheet, type Target } from '../sheet';

import { type Owner } from './owner';

/** Ids of the members by availability zone; the empty zone holds all members. */
function membersByZone(sheet: Sheet, members: readonly string[]): ReadonlyMap<string, string[]> {
  const groups = new Map<string, string[]>([['', []]]);
  for (const member of members) {
    const host = sheet.hosts.get(member);
    if (host === undefined) continue;
    groups.get('')!.push(member);
    const group = groups.get(host.zone);
    if (group === undefined) groups.set(host.zone, [member]);
    else group.push(member);
  }
  return groups;
}

/**
 * The owner of each target, by target id: a member in the target's own zone, or any member when
 * that zone has none.
 */
export function assignOwners(
  sheet: Sheet,
  members: readonly string[],
): ReadonlyMap<string, string> {
  const groups = membersByZone(sheet, members);
  const owners = new Map<string, string>();
  for (const target of sheet.targets.values()) {
    const candidates = groups.get(target.zone) ?? groups.get('') ?? [];
    const owner = rendezvousChoice(target.target, candidates);
    if (owner !== undefined) owners.set(target.target, owner);
  }
  return owners;
}

/** Owners of each service's targets that are in service. */
export function groupOwners(
  sheet: Sheet,
  assignment: ReadonlyMap<string, string>,
  zonesOut: readonly string[],
): ReadonlyMap<string, readonly Owner[]> {
  const groups = new Map<string, readonly Owner[]>();
  for (const [service, targets] of sheet.targetsOf) {
    const byHost = new Map<string, Target[]>();
    for (const target of targets) {
      const owner = assignment.get(target.target);
      if (owner === undefined || zonesOut.includes(target.zone)) continue;
      const group = byHost.get(owner);
      if (group === undefined) byHost.set(owner, [target]);
      else group.push(target);
    }
    const owners = [...byHost].map(([hostId, owned]) => ({
      host: sheet.hosts.get(hostId)!,
      targets: owned,
      slots: owned.reduce((sum, target) => sum + target.slots, 0),
    }));
    groups.set(service, owners);
  }
  return groups;
}
