import { type Observation } from './observation';

/** Whether this host raises the warnings: true for the first live member in order of host ids. */
export function isRaisingHost({ record, liveHosts }: Observation, hostId: string): boolean {
  const live = [...new Set([...liveHosts, hostId])].sort();
  const members = live.filter((host) => record?.members.includes(host));
  return (members[0] ?? live[0]) === hostId;
}
