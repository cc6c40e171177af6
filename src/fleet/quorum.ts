import { rendezvousOrder } from '../runtime';
import { type Host, type Sheet } from '../sheet';

const MAX_VOTERS = 17;

/** Hosts in the region of `zone`, by id. */
export function regionHosts(sheet: Sheet, zone: string): ReadonlyMap<string, Host> {
  const region = sheet.zones.get(zone)?.region;
  return new Map(
    [...sheet.hosts].filter(([, host]) => sheet.zones.get(host.zone)?.region === region),
  );
}

/** Hosts in the region of `zone` that vote while `sheet` is in force. */
export function votersOf(sheet: Sheet, zone: string): readonly string[] {
  const hosts = [...regionHosts(sheet, zone).keys()].sort();
  if (hosts.length <= MAX_VOTERS) return hosts;
  return rendezvousOrder('voters', hosts).slice(0, MAX_VOTERS);
}

/** Number of voters in the smallest majority. */
export function majorityOf(voters: readonly string[]): number {
  return Math.floor(voters.length / 2) + 1;
}

/** True when `hosts` contains a majority of each set of voters. */
export function isQuorum(
  voterSets: readonly (readonly string[])[],
  hosts: ReadonlySet<string>,
): boolean {
  return voterSets.every(
    (voters) => voters.filter((voter) => hosts.has(voter)).length >= majorityOf(voters),
  );
}
