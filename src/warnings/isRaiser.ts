import { type Observation } from './observation';

/** True for the one host that raises warnings: the first live member in the order of host ids. */
export function isRaiser({ record, liveHosts }: Observation, hostId: string): boolean {
  const live = [...new Set([...liveHosts, hostId])].sort();
  const members = live.filter((host) => record?.members.includes(host));
  return (members[0] ?? live[0]) === hostId;
}
